//! Handling of SIGTERM, SIGINT and SIGHUP.

use std::time::Duration;

use tokio::{
    signal::unix::{SignalKind, signal},
    time::sleep,
};

/// Waits for SIGTERM or SIGINT.
pub async fn stop_signal() {
    let (Ok(mut term), Ok(mut int)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        // Without a handler the signal's default action ends the process.
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}

/// Waits for SIGTERM or SIGINT; meanwhile calls `reload` at each SIGHUP and whenever `interval` has passed
/// without one.
pub(crate) async fn stop_or_reload(interval: Duration, reload: impl Fn()) {
    let mut hup = match signal(SignalKind::hangup()) {
        Ok(hup) => hup,
        Err(e) => {
            spdlog::error!("failed to install the SIGHUP handler; settings are not reloaded", kv: { error: = e });
            return stop_signal().await;
        }
    };
    let mut stop = std::pin::pin!(stop_signal());
    loop {
        tokio::select! {
            () = &mut stop => return,
            _ = hup.recv() => reload(),
            () = sleep(interval) => reload(),
        }
    }
}
