//! [`Reservations`].

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    task::JoinSet,
    time::{Instant, sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::{EngineControl, HelperAddress, MaySend, ReserveAnswer, WorkId};

/// Time for which memory is reserved without renewal. Bounds how long memory stays reserved if an order is
/// executed late or a release is lost.
const HOLD_TIME: Duration = Duration::from_millis(3_000);
/// Interval between renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(900);
/// Timeout for the reply to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay before a renewal that got no reply is sent again: several of them fit into the time for which memory is held.
const SILENT_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Consecutive renewals that are refused, or whose connection fails, after which the reservation is considered lost.
const MAX_RENEW_FAILURES: u32 = 2;
/// Maximum number of attempts to release a reservation.
const MAX_RELEASE_ATTEMPTS: u32 = 3;

/// An engine did not reserve memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ReserveError {
    pub(crate) engine: SocketAddr,
    pub(crate) cause: String,
}

/// Why an order to reserve memory failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
enum OrderError {
    /// The engine did not reply in time; it may have executed the order, or execute it later.
    #[error("no reply to the reservation in time")]
    NoReply,
    /// The engine refused the order, or the connection failed.
    #[error("{0}")]
    Failed(String),
}

/// Memory reserved on several engines for one prompt; released on drop.
pub(crate) struct Reservations {
    control: Arc<dyn EngineControl>,
    held: Vec<(SocketAddr, String)>,
    /// Aborted when the reservations are dropped.
    renewals: JoinSet<()>,
    lost: CancellationToken,
}

impl Reservations {
    /// Reserves memory on all of the engines to which orders may be sent. If one fails, the others are released.
    /// Renewals are sent in any case.
    pub(crate) async fn reserve_all(
        control: Arc<dyn EngineControl>,
        engines: &[SocketAddr],
        id: WorkId,
        tokens: u64,
        max_hold: Duration,
        may_send: Arc<MaySend>,
    ) -> Result<Self, ReserveError> {
        let hold = HOLD_TIME.min(max_hold);
        let orders = engines
            .iter()
            .enumerate()
            .map(|(i, engine)| (*engine, format!("{id}-{i}")));
        let held: Vec<_> = orders.collect();
        let tasks = held.iter().cloned().map(|(engine, id)| {
            let control = Arc::clone(&control);
            let may_send = Arc::clone(&may_send);
            tokio::spawn(
                async move { reserve(&*control, engine, &id, tokens, hold, &*may_send).await },
            )
        });
        let tasks: Vec<_> = tasks.collect();
        let lost = CancellationToken::new();
        let mut renewals = JoinSet::new();
        for (engine, id) in held.iter().cloned() {
            renewals.spawn(keep_renewed(
                Arc::clone(&control),
                engine,
                id,
                tokens,
                hold,
                lost.clone(),
            ));
        }
        // Created before the replies are awaited, so that an early return releases the memory.
        let reservations = Self {
            control,
            held,
            renewals,
            lost,
        };
        for (task, engine) in tasks.into_iter().zip(engines) {
            let reserved = task.await.map_err(|e| OrderError::Failed(e.to_string()));
            reserved.flatten().map_err(|e| ReserveError {
                engine: *engine,
                cause: e.to_string(),
            })?;
        }
        Ok(reservations)
    }

    /// Cancelled when a reservation could not be renewed; the request can't complete then.
    pub(crate) fn lost(&self) -> &CancellationToken {
        &self.lost
    }

    /// Engines and reservations, in the order of the request.
    pub(crate) fn helpers(&self) -> Vec<HelperAddress> {
        let held = self.held.iter();
        held.map(|(address, id)| HelperAddress {
            address: *address,
            reservation: Some(id.clone()),
        })
        .collect()
    }
}

impl Drop for Reservations {
    fn drop(&mut self) {
        self.renewals.abort_all();
        for (engine, id) in self.held.drain(..) {
            tokio::spawn(release(Arc::clone(&self.control), engine, id));
        }
    }
}

async fn reserve(
    control: &dyn EngineControl,
    engine: SocketAddr,
    id: &str,
    tokens: u64,
    hold: Duration,
    may_send: &MaySend,
) -> Result<(), OrderError> {
    let order = control.reserve(engine, id, tokens, hold, may_send);
    let reply = timeout(ORDER_TIMEOUT, order).await;
    let reply = reply.map_err(|_| OrderError::NoReply)?;
    match reply.map_err(OrderError::Failed)? {
        ReserveAnswer::Held => Ok(()),
        ReserveAnswer::Full => Err(OrderError::Failed("too little free memory".to_owned())),
    }
}

/// Renews one reservation periodically and cancels `lost` when it is lost: after [`MAX_RENEW_FAILURES`] consecutive
/// failures, or when the engine has been silent until the memory is no longer held. A silent engine may still serve the
/// request.
async fn keep_renewed(
    control: Arc<dyn EngineControl>,
    engine: SocketAddr,
    id: String,
    tokens: u64,
    hold: Duration,
    lost: CancellationToken,
) {
    let mut failures = 0;
    let mut delay = RENEW_INTERVAL;
    let mut held_until = Instant::now() + hold;
    loop {
        sleep(delay).await;
        let sent_at = Instant::now();
        let Err(e) = reserve(&*control, engine, &id, tokens, hold, &|_| true).await else {
            (failures, delay) = (0, RENEW_INTERVAL);
            held_until = sent_at + hold;
            continue;
        };
        if e == OrderError::NoReply {
            delay = SILENT_RETRY_DELAY;
        } else {
            (failures, delay) = (failures + 1, RENEW_INTERVAL);
        }
        let is_lost = failures >= MAX_RENEW_FAILURES || Instant::now() >= held_until;
        spdlog::warn!("failed to renew reservation", kv: {
            engine: = engine, reservation = id.as_str(), cause: = e, failures, lost = is_lost
        });
        if is_lost {
            break;
        }
    }
    lost.cancel();
}

async fn release(control: Arc<dyn EngineControl>, engine: SocketAddr, id: String) {
    for _ in 0..MAX_RELEASE_ATTEMPTS {
        match timeout(ORDER_TIMEOUT, control.release(engine, &id)).await {
            Ok(Ok(())) => return,
            Ok(Err(cause)) => {
                spdlog::warn!("failed to release reservation", kv: { engine: = engine, reservation = id.as_str(), cause = cause.as_str() })
            }
            Err(_) => {
                spdlog::warn!("failed to release reservation", kv: { engine: = engine, reservation = id.as_str(), cause = "no reply in time" })
            }
        }
    }
}
