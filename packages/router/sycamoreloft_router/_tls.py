"""TLS contexts from the files that the settings name."""

import ssl

import sycamoreloft_config


def make_server_context(
    files: sycamoreloft_config.TlsFiles | None,
) -> ssl.SSLContext | None:
    """Returns a context for accepting connections, None for plain TCP."""
    if files is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(files.certificate, files.key)
    if files.ca:
        context.load_verify_locations(files.ca)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def make_client_context(
    files: sycamoreloft_config.TlsFiles | None,
) -> ssl.SSLContext | None:
    """Returns a context for opening connections, None for plain TCP.

    Hosts are reached by IP number, which certificates rarely name, so the
    name is not checked; the authority and the shared key are.
    """
    if files is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.SERVER_AUTH)
    context.check_hostname = False
    if files.ca:
        context.load_verify_locations(files.ca)
    context.load_cert_chain(files.certificate, files.key)
    return context
