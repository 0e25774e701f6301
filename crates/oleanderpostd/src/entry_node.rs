//! Running as an entry node on the users' platform.

use std::{sync::Arc, time::Duration};

use oleanderpost_platform::{Args, EngineControlClient, HeaderCodec, StoreClient};
use oleanderpost_serving::{Node, PlatformParts, Settings};

use crate::{Result, signal};

/// Pause between two looks at the settings file, which may change without a signal.
const RELOAD_EVERY: Duration = Duration::from_secs(5);

/// Serves until the process is told to stop.
///
/// # Errors
///
/// [`Error::Entry`](crate::Error::Entry) when the settings have faults or an address can't be bound.
pub async fn run(args: Args) -> Result<bool> {
    let settings = Settings::read(&args.settings)?;
    if args.check {
        return Ok(true);
    }
    let platform = PlatformParts {
        codec: Arc::new(HeaderCodec),
        control: Arc::new(EngineControlClient),
        source: Arc::new(StoreClient::new(settings.store)),
    };
    let node = Node::start(&settings, platform).await?;
    let reload = || reload(&args, &node);
    signal::stop_or_reload(RELOAD_EVERY, reload).await;
    node.close().await;
    Ok(true)
}

/// Takes in what has changed in the settings file; a faulty file changes nothing.
fn reload(args: &Args, node: &Node) {
    match Settings::read(&args.settings) {
        Ok(settings) => node.reload(settings),
        Err(e) => spdlog::error!("settings not taken in", kv: { error: = e }),
    }
}
