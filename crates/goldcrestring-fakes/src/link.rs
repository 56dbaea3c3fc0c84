//! A relay between two processes that can block traffic without closing connections.

use goldcrestring_wire::runtime::{sleep, spawn};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

const BUFFER_BYTES: usize = 16 * 1_024;

/// How often a blocked relay checks whether it may continue.
const BLOCKED_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A TCP relay for the connections from one process to another.
#[derive(Clone)]
pub struct Link {
    address: SocketAddr,
    is_forward_blocked: Arc<AtomicBool>,
    is_backward_blocked: Arc<AtomicBool>,
    bytes: Arc<AtomicU64>,
    open: Arc<Mutex<BTreeMap<u64, [TcpStream; 2]>>>,
    next_connection: Arc<AtomicU64>,
}

impl Link {
    /// Starts a relay to the address of a process.
    ///
    /// # Errors
    ///
    /// The operating system's error if no port is free.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), target).await
    }

    /// Like [`Self::start`], for a relay at a given address.
    ///
    /// # Errors
    ///
    /// The operating system's error if the address can't be bound.
    pub async fn start_at(address: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let link = Self {
            address: listener.local_addr()?,
            is_forward_blocked: Arc::default(),
            is_backward_blocked: Arc::default(),
            bytes: Arc::default(),
            open: Arc::default(),
            next_connection: Arc::default(),
        };
        let relay = link.clone();
        spawn(async move {
            while let Ok((inbound, _)) = listener.accept().await {
                let relay = relay.clone();
                spawn(async move { relay.connect(inbound, target).await }).detach();
            }
        })
        .detach();
        Ok(link)
    }

    /// Returns the relay's address, to use in place of the target's.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Blocks or unblocks each direction; data of a blocked direction is held back, not dropped.
    pub fn set_blocked(&self, is_forward_blocked: bool, is_backward_blocked: bool) {
        self.is_forward_blocked.store(is_forward_blocked, Ordering::Relaxed);
        self.is_backward_blocked.store(is_backward_blocked, Ordering::Relaxed);
    }

    /// Closes all connections, with the data that is held back.
    pub fn close_connections(&self) {
        for [inbound, outbound] in self.open().values() {
            let _ = inbound.shutdown(Shutdown::Both);
            let _ = outbound.shutdown(Shutdown::Both);
        }
    }

    fn open(&self) -> MutexGuard<'_, BTreeMap<u64, [TcpStream; 2]>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of bytes relayed so far in both directions.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    async fn connect(&self, inbound: TcpStream, target: SocketAddr) {
        let Ok(outbound) = TcpStream::connect(target).await else { return };
        let _ = inbound.set_nodelay(true);
        let _ = outbound.set_nodelay(true);
        let connection = self.next_connection.fetch_add(1, Ordering::Relaxed);
        self.open().insert(connection, [inbound.clone(), outbound.clone()]);
        let forward =
            relay(inbound.clone(), outbound.clone(), &self.is_forward_blocked, &self.bytes);
        let backward = relay(outbound, inbound, &self.is_backward_blocked, &self.bytes);
        smol::future::or(forward, backward).await;
        self.open().remove(&connection);
    }
}

async fn relay(mut from: TcpStream, mut to: TcpStream, is_blocked: &AtomicBool, bytes: &AtomicU64) {
    let mut buffer = [0; BUFFER_BYTES];
    while let Ok(read @ 1..) = from.read(&mut buffer).await {
        while is_blocked.load(Ordering::Relaxed) {
            sleep(BLOCKED_POLL_INTERVAL).await;
        }
        bytes.fetch_add(read as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
