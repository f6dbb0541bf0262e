"""Certificate authorities and key files for tests of TLS."""

import datetime
import ipaddress
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from hornbeamramp.settings import TlsSettings

LIFETIME = datetime.timedelta(hours=1)


class Authority:
    """A certificate authority that issues certificates for 127.0.0.1, in files in ``directory``."""

    def __init__(self, directory: Path, name: str) -> None:
        self._directory = directory
        self._name = name
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._certificate = self._sign(name, self._key, is_authority=True)
        self.ca_file = directory / f"{name}-ca.pem"
        self.ca_file.write_bytes(self._certificate.public_bytes(serialization.Encoding.PEM))

    def issue(self, name: str) -> TlsSettings:
        """Writes a key and its certificate and returns TLS settings with their paths."""
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = self._sign(name, key, is_authority=False)
        key_file = self._directory / f"{self._name}-{name}-key.pem"
        certificate_file = self._directory / f"{self._name}-{name}.pem"
        key_file.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        certificate_file.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        return TlsSettings(
            certificate_file=str(certificate_file),
            key_file=str(key_file),
            ca_file=str(self.ca_file),
        )

    def _sign(
        self, name: str, key: ec.EllipticCurvePrivateKey, *, is_authority: bool
    ) -> x509.Certificate:
        now = datetime.datetime.now(datetime.UTC)
        issuer = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, f"{self._name} authority")])
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        builder = (
            x509.CertificateBuilder()
            .subject_name(issuer if is_authority else subject)
            .issuer_name(issuer)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - LIFETIME)
            .not_valid_after(now + LIFETIME)
            .add_extension(x509.BasicConstraints(ca=is_authority, path_length=None), critical=True)
            .add_extension(
                x509.SubjectKeyIdentifier.from_public_key(key.public_key()), critical=False
            )
            .add_extension(
                x509.AuthorityKeyIdentifier.from_issuer_public_key(self._key.public_key()),
                critical=False,
            )
        )
        if not is_authority:
            address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
            builder = builder.add_extension(x509.SubjectAlternativeName([address]), critical=False)
        return builder.sign(self._key, hashes.SHA256())
