"""Client of the admin API, used by the command line."""

import ssl
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
from result import Err, Ok, Result

__all__ = ["AdminClient", "AdminProblem"]

TIMEOUT_S = 20.0


class AdminProblem(msgspec.Struct, frozen=True):
    """An error reply of the admin API. ``status`` is 0 if there was no valid reply."""

    status: int
    detail: str
    body: dict[str, Any] = {}


class AdminClient:
    """Client of the admin API of one entry VM.

    `base_url`
        For instance ``http://10.0.0.5:8082``.
    `token`
        Bearer token.
    `ca_file`
        CA certificates to trust for ``https``, or ``None`` for those of the system.
    """

    def __init__(self, base_url: str, token: str, ca_file: Path | None = None) -> None:
        self._ca_file = ca_file
        self._base_url = base_url.rstrip("/")
        self._headers = {"Authorization": f"Bearer {token}"}

    async def list_rows(self, table: str) -> Result[dict[str, Any], AdminProblem]:
        return await self._request("GET", f"/v1/{table}")

    async def get_row(self, table: str, name: str) -> Result[dict[str, Any], AdminProblem]:
        return await self._request("GET", f"/v1/{table}/{name}")

    async def put_row(
        self, table: str, name: str, row: dict[str, Any], version: int | None
    ) -> Result[dict[str, Any], AdminProblem]:
        """Writes a row. ``version`` is the version to replace, ``None`` to create the row."""
        headers = _precondition_headers(version)
        return await self._request("PUT", f"/v1/{table}/{name}", row, headers)

    async def delete_row(
        self, table: str, name: str, version: int
    ) -> Result[dict[str, Any], AdminProblem]:
        return await self._request(
            "DELETE", f"/v1/{table}/{name}", None, _precondition_headers(version)
        )

    async def status(self) -> Result[dict[str, Any], AdminProblem]:
        return await self._request("GET", "/v1/status")

    async def _request(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        headers: dict[str, str] | None = None,
    ) -> Result[dict[str, Any], AdminProblem]:
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        try:
            ssl_context = (
                True if self._ca_file is None else ssl.create_default_context(cafile=self._ca_file)
            )
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(
                    method,
                    self._base_url + path,
                    json=body,
                    ssl=ssl_context,
                    headers={**self._headers, **(headers or {})},
                ) as response,
            ):
                document = msgspec.json.decode(await response.read(), type=dict[str, Any])
                if response.status >= 400:
                    detail = str(document.get("detail", response.reason))
                    return Err(AdminProblem(response.status, detail, document))
                return Ok(document)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Err(AdminProblem(0, f"{self._base_url}: {error!r}"))
        except msgspec.MsgspecError as error:
            return Err(AdminProblem(0, f"{self._base_url}: not a JSON document: {error}"))


def _precondition_headers(version: int | None) -> dict[str, str]:
    return {"If-None-Match": "*"} if version is None else {"If-Match": f'"{version}"'}
