"""HTTP client of the administration API."""

from __future__ import annotations

import urllib.parse
from typing import Any

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.simple_httpclient import HTTPStreamClosedError, HTTPTimeoutError

from mastickeel.decoding import decode_json
from mastickeel.errors import MastickeelError

REQUEST_TIMEOUT_S = 30.0


class ApiError(MastickeelError):
    """Raised when the administration API refuses a request; has the API's detail and remedy."""

    code = "api"


class UnreachableError(MastickeelError):
    """Raised when the router does not answer."""

    code = "unreachable"
    remedy = "Check --url, and that the router is running."


class AdminClient:
    """Sends requests to the administration API of one router."""

    def __init__(self, url: str, token: str) -> None:
        """Creates a client.

        Args:
            url: The URL of the administration listener, such as ``http://127.0.0.1:8081``.
            token: An operator's token.
        """
        self._url = url.rstrip("/")
        self._token = token

    async def post(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Sends a POST request with a JSON body and returns the decoded answer.

        Raises:
            ApiError: When the router refuses the request.
            UnreachableError: When the router does not answer.
        """
        return await self._fetch(path, "POST", msgspec.json.encode(body))

    async def get(self, path: str, **query: Any) -> dict[str, Any]:
        """Sends a GET request, without empty query parameters, and returns the decoded answer.

        Raises:
            ApiError: When the router refuses the request.
            UnreachableError: When the router does not answer.
        """
        parameters = {name: value for name, value in query.items() if value}
        suffix = "?" + urllib.parse.urlencode(parameters) if parameters else ""
        return await self._fetch(path + suffix, "GET", None)

    async def _fetch(self, path: str, method: str, body: bytes | None) -> dict[str, Any]:
        """Sends one request and decodes the JSON answer."""
        request = HTTPRequest(
            self._url + path,
            method=method,
            body=body,
            headers={"Authorization": f"Bearer {self._token}", "Content-Type": "application/json"},
            request_timeout=REQUEST_TIMEOUT_S,
        )
        try:
            answer = await AsyncHTTPClient().fetch(request)
        except (HTTPTimeoutError, HTTPStreamClosedError, OSError) as error:
            raise UnreachableError(f"{self._url} does not answer: {error}.") from error
        except HTTPClientError as error:
            raise _api_error(error) from error
        try:
            decoded: dict[str, Any] = decode_json(answer.body, dict)
        except msgspec.DecodeError as error:
            raise UnreachableError(f"{self._url} sent an incomplete answer: {error}.") from error
        return decoded


def _api_error(error: HTTPClientError) -> ApiError:
    """Returns the error for an HTTP error answer, with the details of its problem+json body."""
    try:
        problem = decode_json(error.response.body if error.response else b"{}")
    except msgspec.DecodeError:
        problem = {}
    if not isinstance(problem, dict):
        problem = {}
    return ApiError(problem.get("detail", str(error)), remedy=problem.get("remedy", ""))
