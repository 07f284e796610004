//! Checks of values that can be read but make no sense, and texts that cite such values.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Length above which the text of an error is cut, in bytes.
const MAX_TEXT_BYTES: usize = 512;

/// Returns whether a connection to `address` can succeed: it has a port, and its IP address belongs
/// to one host.
pub fn is_connectable(address: SocketAddr) -> bool {
    let ip = address.ip().to_canonical();
    let is_of_one_host = !ip.is_unspecified() && !ip.is_multicast();
    address.port() != 0 && is_of_one_host && ip != IpAddr::V4(Ipv4Addr::BROADCAST)
}

/// Returns the text of an error, cut in the middle if it cites an overlong value.
pub fn shorten(text: String) -> String {
    if text.len() <= MAX_TEXT_BYTES {
        return text;
    }
    let start = text.floor_char_boundary(MAX_TEXT_BYTES / 2);
    let end = text.ceil_char_boundary(text.len() - MAX_TEXT_BYTES / 2);
    format!("{} ... {}", &text[..start], &text[end..])
}
