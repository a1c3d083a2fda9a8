"""Creates TLS contexts from the files in the settings."""

import ssl

import sycamoreloft_config


def make_server_context(
    files: sycamoreloft_config.TlsFiles | None,
) -> ssl.SSLContext | None:
    """Creates a context for accepting connections.

    Args:
        files: TLS files of the port, or None for plain TCP. If they include
            authorities, clients need a certificate of one of them.

    Returns:
        The context, or None for plain TCP.
    """
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
    """Creates a context for opening connections to other hosts.

    Host names are not checked: hosts connect to IP addresses, which
    certificates rarely contain. The certificate authority is checked here, and
    the shared key by the protocol between hosts.

    Args:
        files: TLS files of the port, or None for plain TCP.

    Returns:
        The context, or None for plain TCP.
    """
    if files is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.SERVER_AUTH)
    context.check_hostname = False
    if files.ca:
        context.load_verify_locations(files.ca)
    context.load_cert_chain(files.certificate, files.key)
    return context
