//! Handling of stop and reload signals.

use std::io;
use std::sync;
use std::sync::atomic;

use chestnutpick_telemetry::event;
use signal_hook::{consts, flag};
use tokio::signal::unix;
use tokio_util::sync as token;

/// Handler for SIGHUP, active from its creation. Without a handler the first SIGHUP would end the process.
#[derive(Debug)]
pub struct Reload {
    /// Set by each SIGHUP.
    is_due: sync::Arc<atomic::AtomicBool>,
}

impl Reload {
    /// Installs the handler for SIGHUP. Needs no runtime, so that a process can call it before anything else.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the signal handler cannot be installed.
    ///
    /// ```
    /// use chestnutpick_process::signal;
    /// let reload = signal::Reload::catch();
    /// assert!(reload.is_ok());
    /// ```
    pub fn catch() -> io::Result<Self> {
        let is_due = sync::Arc::new(atomic::AtomicBool::new(false));
        flag::register(consts::SIGHUP, sync::Arc::clone(&is_due))?;
        Ok(Self { is_due })
    }

    /// Spawns a task that calls `reload` after each SIGHUP until `stop` is cancelled. Signals received before this call
    /// count as one.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the signal cannot be received by the runtime.
    pub fn spawn_handler<F>(self, stop: token::CancellationToken, reload: F) -> io::Result<()>
    where
        F: Fn() + 'static,
    {
        let mut hangup = unix::signal(unix::SignalKind::hangup())?;
        actix_rt::spawn(async move {
            loop {
                // The flag is set before the runtime is notified.
                if self.is_due.swap(false, atomic::Ordering::AcqRel) {
                    reload();
                }
                tokio::select! {
                    () = stop.cancelled() => return,
                    _ = hangup.recv() => {}
                }
            }
        });
        Ok(())
    }
}

/// Returns a token that is cancelled at the first SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns the operating system's error if a signal handler cannot be installed.
pub fn stop_token() -> io::Result<token::CancellationToken> {
    let token = token::CancellationToken::new();
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
