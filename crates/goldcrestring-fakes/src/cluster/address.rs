//! Addresses that stay reserved for a process.

use rustix::net::{
    AddressFamily, SocketFlags, SocketType, bind, getsockname, socket_with, sockopt,
};
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;

/// An address on loopback that no other process is given until this is dropped.
///
/// The socket is bound and never listens. A process that is told the address can listen on it, since
/// both sockets set `SO_REUSEADDR`; the system chooses the port neither for a listener on port 0 nor
/// for an outgoing connection.
pub(super) struct ReservedAddress {
    address: SocketAddr,
    _socket: OwnedFd,
}

impl ReservedAddress {
    /// Reserves a free address.
    ///
    /// # Errors
    ///
    /// The operating system's error if no port is free.
    pub(super) fn new() -> io::Result<Self> {
        let socket =
            socket_with(AddressFamily::INET, SocketType::STREAM, SocketFlags::CLOEXEC, None)?;
        sockopt::set_socket_reuseaddr(&socket, true)?;
        bind(&socket, &SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = getsockname(&socket)?.try_into()?;
        Ok(Self { address, _socket: socket })
    }

    /// Returns the address.
    pub(super) const fn address(&self) -> SocketAddr {
        self.address
    }
}

#[cfg(test)]
mod tests;
