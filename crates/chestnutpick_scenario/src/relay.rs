//! TCP relay that injects faults into the connections between processes.

use std::io;
use std::net;
use std::sync::{self, atomic};
use std::thread;
use std::time;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp;
use tokio::sync::mpsc;

/// Maximum number of bytes that are forwarded at a time.
const BUFFER_SIZE: usize = 16 << 10;

/// Interval between checks of the fault.
const POLL: time::Duration = time::Duration::from_millis(10);

/// Delay before each write to a slow connection.
const SLOW_DELAY: time::Duration = time::Duration::from_millis(20);

/// Fault that a relay applies to its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::EnumString, strum::FromRepr)]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum Fault {
    /// Forwards everything.
    None,
    /// Closes all open connections, and each new one immediately.
    Cut,
    /// Forwards nothing and closes nothing.
    Stall,
    /// Forwards at most 800 KiB/s per direction of a connection.
    Slow,
    /// Inverts one byte of each full buffer of a response; response heads are smaller and stay intact.
    Corrupt,
}

/// Relay for any number of targets, which share one fault.
pub struct Relay {
    fault: sync::Arc<atomic::AtomicU8>,
    targets: mpsc::UnboundedSender<(net::TcpListener, net::SocketAddr)>,
}

impl Relay {
    /// Starts a relay without targets on a separate thread, which ends when the relay is dropped.
    pub fn start() -> Self {
        let fault = sync::Arc::<atomic::AtomicU8>::default();
        let (targets, mut new_targets) = mpsc::unbounded_channel();
        let shared = sync::Arc::clone(&fault);
        thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                while let Some((listener, target)) = new_targets.recv().await {
                    actix_rt::spawn(accept(listener, target, sync::Arc::clone(&shared)));
                }
            });
        });
        Self { fault, targets }
    }

    /// Adds a target; returns the address at which the relay forwards to it.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if no address can be bound.
    pub fn add_target(&self, target: net::SocketAddr) -> io::Result<net::SocketAddr> {
        let listener = net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        self.targets.send((listener, target)).map_err(io::Error::other)?;
        Ok(address)
    }

    /// Sets the fault of all connections, including open ones.
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
        actix_rt::spawn(forward(client, target, sync::Arc::clone(&fault)));
    }
}

async fn forward(
    client: tokio::net::TcpStream,
    target: net::SocketAddr,
    fault: sync::Arc<atomic::AtomicU8>,
) -> io::Result<()> {
    // While stalled, the operating system accepts the connection, but no connection to the target is opened.
    while current(&fault) == Fault::Stall {
        actix_rt::time::sleep(POLL).await;
    }
    let server = tokio::net::TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::select! {
        () = wait_for_cut(&fault) => Ok(()),
        (requests, responses) = async {
            tokio::join!(
                copy(client_read, server_write, &fault, false),
                copy(server_read, client_write, &fault, true),
            )
        } => requests.and(responses),
    }
}

async fn wait_for_cut(fault: &atomic::AtomicU8) {
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
    let mut buffer = vec![0; BUFFER_SIZE];
    loop {
        let len = from.read(&mut buffer).await?;
        if len == 0 {
            return to.shutdown().await;
        }
        while current(fault) == Fault::Stall {
            actix_rt::time::sleep(POLL).await;
        }
        match current(fault) {
            Fault::Slow => actix_rt::time::sleep(SLOW_DELAY).await,
            Fault::Corrupt if is_response && len == BUFFER_SIZE => buffer[BUFFER_SIZE / 2] ^= 0xff,
            Fault::None | Fault::Cut | Fault::Stall | Fault::Corrupt => {}
        }
        to.write_all(&buffer[..len]).await?;
    }
}
