#ifndef DOTTERELSHIFT_DIRECTORY_FIND_BY_ADDRESS_H_
#define DOTTERELSHIFT_DIRECTORY_FIND_BY_ADDRESS_H_

#include <string>  // for string

#include "dotterelshift/directory/directory.h"  // for Directory

namespace dotterelshift::directory {

// The endpoint in use at an address (IP:port); null: none. An address has one.
const Endpoint* FindByAddress(const Directory& directory,
                              const std::string& address);

}  // namespace dotterelshift::directory

#endif  // DOTTERELSHIFT_DIRECTORY_FIND_BY_ADDRESS_H_
