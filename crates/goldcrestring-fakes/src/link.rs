//! A connection between two processes that can be cut without either noticing.

use goldcrestring_wire::runtime::{sleep, spawn};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

const BUFFER_BYTES: usize = 16 * 1_024;

/// How often a held-back byte stream looks whether it may go on.
const HOLD_POLL: Duration = Duration::from_millis(10);

/// A relay in the path of one process's connections to another.
#[derive(Clone)]
pub struct Link {
    address: SocketAddr,
    is_forward_blocked: Arc<AtomicBool>,
    is_backward_blocked: Arc<AtomicBool>,
    bytes: Arc<AtomicU64>,
}

impl Link {
    /// Starts a relay to a process.
    ///
    /// # Errors
    ///
    /// The operating system's error when no port is free.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let link = Self {
            address: listener.local_addr()?,
            is_forward_blocked: Arc::default(),
            is_backward_blocked: Arc::default(),
            bytes: Arc::default(),
        };
        let relay = link.clone();
        spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let relay = relay.clone();
                spawn(async move { relay.join(near, target).await }).detach();
            }
        })
        .detach();
        Ok(link)
    }

    /// Where the process connects to instead of the target.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts or mends each direction; bytes of a cut direction are held back silently.
    pub fn set_blocked(&self, is_forward_blocked: bool, is_backward_blocked: bool) {
        self.is_forward_blocked.store(is_forward_blocked, Ordering::Relaxed);
        self.is_backward_blocked.store(is_backward_blocked, Ordering::Relaxed);
    }

    /// The bytes relayed so far, both directions together.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    async fn join(&self, near: TcpStream, target: SocketAddr) {
        let Ok(far) = TcpStream::connect(target).await else { return };
        let _ = near.set_nodelay(true);
        let _ = far.set_nodelay(true);
        let forward = relay(near.clone(), far.clone(), &self.is_forward_blocked, &self.bytes);
        let backward = relay(far, near, &self.is_backward_blocked, &self.bytes);
        smol::future::or(forward, backward).await;
    }
}

async fn relay(mut from: TcpStream, mut to: TcpStream, is_blocked: &AtomicBool, bytes: &AtomicU64) {
    let mut buffer = [0; BUFFER_BYTES];
    while let Ok(read @ 1..) = from.read(&mut buffer).await {
        while is_blocked.load(Ordering::Relaxed) {
            sleep(HOLD_POLL).await;
        }
        bytes.fetch_add(read as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
