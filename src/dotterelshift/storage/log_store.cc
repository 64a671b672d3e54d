#include "dotterelshift/storage/log_store.h"

#include "dotterelshift/storage/store.h"  // for Store

namespace dotterelshift::storage {

std::pair<std::unique_ptr<LogStore>, OpenedStore> OpenLogStore(
    const LogStoreOptions& options) {
  auto store =
      std::make_unique<Store<PosixFileSystem>>(PosixFileSystem{}, options);
  OpenedStore opened = store->Open();
  return {std::move(store), std::move(opened)};
}

}  // namespace dotterelshift::storage
