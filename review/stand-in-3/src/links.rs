//! Links between the processes of a deployment, which delay what passes.

use goldcrestring_platform_stand_in::Fleet;
use goldcrestring_wire::runtime::{sleep, spawn};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The bytes that a link reads at once.
const READ_BYTES: usize = 16 << 10;

/// The number of pieces that may be on their way in one direction of a connection.
const MAX_PIECES: usize = 1_024;

/// Opens a link from each process to each replica. What replicas send each other takes `delay` in each
/// direction; what entries send passes at once.
pub fn open(fleet: &Fleet, delay: Duration) -> io::Result<()> {
    let replicas = &fleet.peer_addresses;
    let links = replicas.iter().map(|from| (from, delay));
    let links = links.chain(fleet.entry_peer_addresses.iter().map(|from| (from, Duration::ZERO)));
    for (from, delay) in links {
        for to in replicas.iter().filter(|to| *to != from) {
            // Each process calls all others at its own port.
            let listener = smol::block_on(TcpListener::bind((to.ip(), from.port())))?;
            let to = *to;
            spawn(async move { accept(listener, to, delay).await }).detach();
        }
    }
    Ok(())
}

async fn accept(listener: TcpListener, to: SocketAddr, delay: Duration) {
    while let Ok((near, _)) = listener.accept().await {
        spawn(async move {
            let Ok(far) = TcpStream::connect(to).await else { return };
            let _ = near.set_nodelay(true);
            let _ = far.set_nodelay(true);
            spawn(pass(near.clone(), far.clone(), delay)).detach();
            pass(far, near, delay).await;
        })
        .detach();
    }
}

/// Passes bytes on in one direction, each after the delay, and closes that direction at the end.
async fn pass(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (sender, receiver) = smol::channel::bounded::<(Instant, Vec<u8>)>(MAX_PIECES);
    spawn(async move {
        while let Ok((due_at, piece)) = receiver.recv().await {
            sleep(due_at.saturating_duration_since(Instant::now())).await;
            if to.write_all(&piece).await.is_err() {
                return;
            }
        }
        let _ = to.shutdown(std::net::Shutdown::Write);
    })
    .detach();
    let mut buffer = vec![0; READ_BYTES];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        let piece = (Instant::now() + delay, buffer[..count].to_vec());
        if sender.send(piece).await.is_err() {
            return;
        }
    }
}
