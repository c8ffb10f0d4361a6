"""TLS between nodes, with certificates that can be replaced while running."""

import dataclasses
import ssl

from magnoliafork.model.result import Err, Ok, Result


@dataclasses.dataclass(frozen=True, slots=True)
class TlsError:
    """The certificate files cannot be used."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class TlsFiles:
    """Files with a node's certificate and the fleet's certificate authority.

    Attributes:
        cert_file: Certificate chain in PEM form.
        key_file: Private key in PEM form.
        ca_file: Certificates that sign the peers' certificates.
    """

    cert_file: str
    key_file: str
    ca_file: str


class TlsContexts:
    """Contexts for accepted and for opened connections.

    Both sides present a certificate. Host names are not checked, because peers
    are addressed by IP address and may be replaced at any time; the fleet's
    own certificate authority signs certificates for its nodes only.
    """

    def __init__(self, files: TlsFiles) -> None:
        """Creates contexts without certificates; `reload` loads them."""
        self._files = files
        self.server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        self.client.check_hostname = False
        for context in (self.server, self.client):
            context.minimum_version = ssl.TLSVersion.TLSv1_3
            context.verify_mode = ssl.CERT_REQUIRED

    def reload(self) -> Result[None, TlsError]:
        """Reads the files again; new connections use the new content.

        If that fails, the content loaded before stays in use.
        """
        files = self._files
        trial = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        try:
            for context in (trial, self.server, self.client):
                context.load_cert_chain(files.cert_file, files.key_file)
                context.load_verify_locations(files.ca_file)
        except OSError as error:
            return Err((TlsError(str(error)),))
        return Ok(None)
