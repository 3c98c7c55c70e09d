//! A TCP relay between processes that injects faults into what it carries.

use std::io;
use std::net;
use std::sync::{self, atomic};
use std::thread;
use std::time;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp;
use tokio::sync::mpsc;

/// Bytes that are carried at a time.
const PIECE: usize = 16 << 10;

/// Interval at which connections look at the fault.
const POLL: time::Duration = time::Duration::from_millis(10);

/// Wait before each piece of a slow connection.
const SLOW: time::Duration = time::Duration::from_millis(20);

/// What a relay does to its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::EnumString, strum::FromRepr)]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum Fault {
    /// Carries everything.
    None,
    /// Closes all connections, and new ones at once.
    Cut,
    /// Carries nothing and closes nothing.
    Stall,
    /// Carries 800 KiB a second for each connection.
    Slow,
    /// Inverts a byte of each large piece of a response; heads are smaller than that.
    Corrupt,
}

/// A relay for any number of targets, which share its fault.
pub struct Relay {
    fault: sync::Arc<atomic::AtomicU8>,
    targets: mpsc::UnboundedSender<(net::TcpListener, net::SocketAddr)>,
}

impl Relay {
    /// Starts a relay without targets on a thread of its own, which ends when the relay is dropped.
    pub fn start() -> Self {
        let fault = sync::Arc::<atomic::AtomicU8>::default();
        let (targets, mut added) = mpsc::unbounded_channel();
        let shared = sync::Arc::clone(&fault);
        thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                while let Some((listener, target)) = added.recv().await {
                    actix_rt::spawn(accept(listener, target, sync::Arc::clone(&shared)));
                }
            });
        });
        Self { fault, targets }
    }

    /// Adds a target; returns the address through which it is reached.
    ///
    /// # Errors
    ///
    /// Returns the operating system's reason when no address can be bound.
    pub fn add_target(&self, target: net::SocketAddr) -> io::Result<net::SocketAddr> {
        let listener = net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        self.targets.send((listener, target)).map_err(io::Error::other)?;
        Ok(address)
    }

    /// Sets the fault of all connections, open ones included.
    pub fn set_fault(&self, fault: Fault) {
        self.fault.store(fault as u8, atomic::Ordering::Relaxed);
    }
}

fn current(fault: &atomic::AtomicU8) -> Fault {
    Fault::from_repr(fault.load(atomic::Ordering::Relaxed)).unwrap_or(Fault::None)
}

async fn accept(
    listener: net::TcpListener,
    target: net::SocketAddr,
    fault: sync::Arc<atomic::AtomicU8>,
) -> io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    loop {
        let (client, _) = listener.accept().await?;
        actix_rt::spawn(carry(client, target, sync::Arc::clone(&fault)));
    }
}

async fn carry(
    client: tokio::net::TcpStream,
    target: net::SocketAddr,
    fault: sync::Arc<atomic::AtomicU8>,
) -> io::Result<()> {
    // A stalled connection is accepted by the system and carries nothing, not even its opening.
    while current(&fault) == Fault::Stall {
        actix_rt::time::sleep(POLL).await;
    }
    let server = tokio::net::TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::select! {
        () = cut(&fault) => Ok(()),
        (there, back) = async {
            tokio::join!(
                copy(client_read, server_write, &fault, false),
                copy(server_read, client_write, &fault, true),
            )
        } => there.and(back),
    }
}

async fn cut(fault: &atomic::AtomicU8) {
    while current(fault) != Fault::Cut {
        actix_rt::time::sleep(POLL).await;
    }
}

async fn copy(
    mut from: tcp::OwnedReadHalf,
    mut to: tcp::OwnedWriteHalf,
    fault: &atomic::AtomicU8,
    is_response: bool,
) -> io::Result<()> {
    let mut buffer = vec![0; PIECE];
    loop {
        let len = from.read(&mut buffer).await?;
        if len == 0 {
            return to.shutdown().await;
        }
        while current(fault) == Fault::Stall {
            actix_rt::time::sleep(POLL).await;
        }
        match current(fault) {
            Fault::Slow => actix_rt::time::sleep(SLOW).await,
            Fault::Corrupt if is_response && len == PIECE => buffer[PIECE / 2] ^= 0xff,
            Fault::None | Fault::Cut | Fault::Stall | Fault::Corrupt => {}
        }
        to.write_all(&buffer[..len]).await?;
    }
}
