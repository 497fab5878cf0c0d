"""Adapters for the JSON gateway of the etcd v3 API and for the VM list.

This module never sends a call twice.
"""

from collections.abc import Callable, Sequence
from typing import Any, TypeVar

import msgspec

from almondstair.key_value import base
from almondstair.key_value.etcd_watch import EtcdWatch
from almondstair.key_value.etcd_wire import LeaseAnswer
from almondstair.key_value.etcd_wire import RangeAnswer
from almondstair.key_value.etcd_wire import TxnAnswer
from almondstair.key_value.etcd_wire import WireVmList
from almondstair.key_value.etcd_wire import cas_result
from almondstair.key_value.etcd_wire import conditional_transaction
from almondstair.key_value.etcd_wire import prefix_end
from almondstair.key_value.etcd_wire import put_operation
from almondstair.key_value.etcd_wire import to_record
from almondstair.key_value.etcd_wire import to_revision
from almondstair.key_value.etcd_wire import to_wire
from almondstair.key_value.json_client import JsonClient

_HTTP_OK = 200

T = TypeVar("T")


def _ignore_outcome(failure: str) -> None:
    del failure


class EtcdService(base.KeyValueService):
    """Accesses the key-value service through an etcd v3 JSON gateway."""

    def __init__(
        self,
        *,
        url: str,
        timeout_s: float,
        on_outcome: Callable[[str], None] = _ignore_outcome,
    ) -> None:
        """Initializes; connections are opened on demand.

        Args:
          url: `http://ip:port` of the gateway.
          timeout_s: timeout of one call, in seconds.
          on_outcome: called after each call with the reason why the service
            did not answer, empty if it did.
        """
        self._on_outcome = on_outcome
        self._url = url.rstrip("/")
        self._client = JsonClient(url=url, timeout_s=timeout_s)
        self._connect_timeout_s = timeout_s
        self._watches: list[base.Watch] = []

    def close(self) -> None:
        """Cancels the watches and closes the client."""
        for watch in self._watches:
            watch.cancel()
        self._client.close()

    async def get(self, *, key: str) -> base.Record | None:
        """See the base class."""
        answer = await self._call(
            "/v3/kv/range", {"key": to_wire(key.encode())}, False, RangeAnswer
        )
        for wire in answer.get("kvs", []):
            return to_record(wire)
        return None

    async def list_prefix(self, *, prefix: str, limit: int = 0) -> base.Listing:
        """See the base class."""
        body = {
            "key": to_wire(prefix.encode()),
            "range_end": to_wire(prefix_end(prefix)),
            "limit": str(limit),
        }
        answer = await self._call("/v3/kv/range", body, False, RangeAnswer)
        records = []
        for wire in answer.get("kvs", []):
            records.append(to_record(wire))
        return base.Listing(tuple(records), to_revision(answer.get("header")))

    async def create(
        self, *, key: str, value: bytes, lease_id: int = 0
    ) -> base.CasResult:
        """See the base class."""
        return await self.compare_and_swap(
            key=key, value=value, mod_revision=0, lease_id=lease_id
        )

    async def compare_and_swap(
        self, *, key: str, value: bytes, mod_revision: int, lease_id: int = 0
    ) -> base.CasResult:
        """See the base class."""
        put = put_operation(key=key, value=value, lease_id=lease_id)
        return await self._change(key, mod_revision, put)

    async def delete_if(self, *, key: str, mod_revision: int) -> base.CasResult:
        """See the base class."""
        delete = {"request_delete_range": {"key": to_wire(key.encode())}}
        return await self._change(key, mod_revision, delete)

    async def write_many(
        self, *, writes: Sequence[base.ConditionalWrite]
    ) -> tuple[base.CasResult, ...]:
        """See the base class."""
        operations = []
        keys = set()
        for write in writes:
            keys.add(write.key)
            put = put_operation(
                key=write.key, value=write.value, lease_id=write.lease_id
            )
            transaction = conditional_transaction(
                key=write.key, mod_revision=write.mod_revision, change=put
            )
            operations.append({"request_txn": transaction})
        if len(keys) != len(writes) or len(writes) > base.MAX_BATCH:
            raise ValueError("a batch takes up to 64 keys, each once")
        body = {"compare": [], "success": operations, "failure": []}
        answer = await self._call("/v3/kv/txn", body, True, TxnAnswer)
        revision = to_revision(answer.get("header"))
        results = []
        for response in answer.get("responses", []):
            nested = response.get("response_txn", {})
            results.append(cas_result(nested, revision))
        if len(results) != len(writes):
            raise base.PlatformError(
                failure=base.PlatformFailure.UNKNOWN,
                detail="the platform answered for another number of keys",
            )
        return tuple(results)

    async def grant_lease(self, *, ttl_s: int) -> int:
        """See the base class."""
        answer = await self._call(
            "/v3/lease/grant", {"TTL": str(ttl_s)}, True, LeaseAnswer
        )
        return int(answer.get("ID", "0"))

    def watch(
        self,
        *,
        prefix: str,
        from_revision: int,
        callback: Callable[[base.WatchNotice], None],
    ) -> base.Watch:
        """See the base class."""
        watch = EtcdWatch(
            url=f"{self._url}/v3/watch",
            prefix=prefix,
            from_revision=from_revision,
            callback=callback,
            connect_timeout_s=self._connect_timeout_s,
        )
        self._watches.append(watch)
        return watch

    async def _change(
        self, key: str, mod_revision: int, change: dict[str, Any]
    ) -> base.CasResult:
        body = conditional_transaction(
            key=key, mod_revision=mod_revision, change=change
        )
        answer = await self._call("/v3/kv/txn", body, True, TxnAnswer)
        return cas_result(answer, to_revision(answer.get("header")))

    async def _call(
        self,
        path: str,
        body: dict[str, Any],
        writes: bool,
        response_type: type[T],
    ) -> T:
        try:
            result = await self._client.call(
                path=path,
                body=msgspec.json.encode(body),
                writes=writes,
                response_type=response_type,
            )
        except base.PlatformError as error:
            if error.failure is not base.PlatformFailure.REFUSED:
                self._on_outcome(error.detail)
            raise
        self._on_outcome("")
        return result


class HttpVmList(base.VmList):
    """Reads the VM list over HTTP."""

    def __init__(self, *, url: str, timeout_s: float) -> None:
        """Initializes; `url` is the URL of the list, including the path."""
        self._client = JsonClient(url=url, timeout_s=timeout_s)

    def close(self) -> None:
        """Closes the client."""
        self._client.close()

    async def list_vms(self) -> base.VmListing:
        """See the base class."""
        answer = await self._client.call(
            path="", body=None, writes=False, response_type=WireVmList
        )
        vms = []
        for wire in answer["vms"]:
            vms.append(base.Vm(**wire))
        return base.VmListing(tuple(vms), answer["age_ms"] / 1000)
