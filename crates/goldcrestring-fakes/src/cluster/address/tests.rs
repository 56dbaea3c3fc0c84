//! Reservation of addresses.

use super::ReservedAddress;
use rustix::net::{AddressFamily, SocketType, bind, socket};
use std::io;
use std::net::{SocketAddr, TcpListener};

/// Binds an address as the system does when it chooses a port: without `SO_REUSEADDR`.
fn take(address: SocketAddr) -> io::Result<()> {
    let other = socket(AddressFamily::INET, SocketType::STREAM, None)?;
    Ok(bind(&other, &address)?)
}

// Guards against a port that another cluster gets between the choice of the addresses and the start
// of the processes, or while a process is stopped.
#[test]
fn reserved_address_is_given_to_no_other_socket_before_between_and_after_its_process() {
    let reserved = ReservedAddress::new().unwrap();
    for _ in 0..2 {
        let taken = take(reserved.address()).map_err(|error| error.kind());
        assert_eq!(taken, Err(io::ErrorKind::AddrInUse));
        // What the daemon does with the address from its settings.
        let process = TcpListener::bind(reserved.address()).unwrap();
        assert_eq!(process.local_addr().unwrap(), reserved.address());
    }
    let taken = take(reserved.address()).map_err(|error| error.kind());
    assert_eq!(taken, Err(io::ErrorKind::AddrInUse));
}

// Guards against a reservation that outlives its cluster.
#[test]
fn dropped_reservation_frees_the_address() {
    let address = ReservedAddress::new().unwrap().address();
    take(address).unwrap();
}

// Guards against two processes of one cluster at the same address.
#[test]
fn reserved_addresses_are_distinct() {
    let reserved: Vec<_> = (0..64).map(|_| ReservedAddress::new().unwrap()).collect();
    let addresses: std::collections::BTreeSet<_> =
        reserved.iter().map(ReservedAddress::address).collect();
    assert_eq!(addresses.len(), reserved.len());
}
