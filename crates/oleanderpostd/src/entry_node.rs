//! Runs the process as an entry node on the users' platform.

use std::{sync::Arc, time::Duration};

use oleanderpost_platform::{Args, EngineControlClient, HeaderCodec, StoreClient};
use oleanderpost_serving::{Node, PlatformParts, Settings};

use crate::{Result, signal};

/// Interval between reloads of the settings file, which may change without a SIGHUP.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Serves requests until SIGTERM or SIGINT.
///
/// # Errors
///
/// [`Error::Entry`](crate::Error::Entry) when the settings are not valid or an address cannot be bound.
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
    signal::stop_or_reload(RELOAD_INTERVAL, reload).await;
    node.close().await;
    Ok(true)
}

/// Applies the changes in the settings file; if the file is not valid, the settings in use stay.
fn reload(args: &Args, node: &Node) {
    match Settings::read(&args.settings) {
        Ok(settings) => node.reload(settings),
        Err(e) => spdlog::error!("failed to reload the settings", kv: { error: = e }),
    }
}
