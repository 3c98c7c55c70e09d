//! Handling of stop and reload signals.

use std::io;

use chestnutpick_telemetry::event;
use tokio::signal::unix;
use tokio_util::sync;

/// Handler for SIGHUP, active from its creation. Without a handler the first SIGHUP would end the process.
#[derive(Debug)]
pub struct Reload(unix::Signal);

impl Reload {
    /// Installs the handler for SIGHUP.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the signal handler cannot be installed.
    pub fn catch() -> io::Result<Self> {
        unix::signal(unix::SignalKind::hangup()).map(Self)
    }

    /// Spawns a task that calls `reload` for each SIGHUP, also for one received before this call, until `stop` is
    /// cancelled.
    pub fn spawn_handler<F>(self, stop: sync::CancellationToken, reload: F)
    where
        F: Fn() + 'static,
    {
        let Self(mut hangup) = self;
        actix_rt::spawn(async move {
            loop {
                tokio::select! {
                    () = stop.cancelled() => return,
                    _ = hangup.recv() => reload(),
                }
            }
        });
    }
}

/// Returns a token that is cancelled at the first SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns the operating system's error if a signal handler cannot be installed.
pub fn stop_token() -> io::Result<sync::CancellationToken> {
    let token = sync::CancellationToken::new();
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    let cancelled = token.clone();
    actix_rt::spawn(async move {
        let name = tokio::select! {
            _ = terminate.recv() => "SIGTERM",
            _ = interrupt.recv() => "SIGINT",
        };
        event::Event::new("stop_requested").with("signal", name).info();
        cancelled.cancel();
    });
    Ok(token)
}
