//! [`Reservations`].

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    task::JoinSet,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::{EngineControl, HelperAddress, ReserveAnswer, WorkId};

/// Time for which memory is set aside without a renewal. An order that is carried out late, or whose
/// release is lost, holds memory no longer.
const HOLD: Duration = Duration::from_millis(3_000);
/// Pause between renewals.
const RENEW_EVERY: Duration = Duration::from_millis(900);
/// Time for the answer to an order.
const ORDER_LIMIT: Duration = Duration::from_millis(400);
/// Orders in a row that an engine leaves unanswered, after which it counts as lost.
const LOST_AFTER: u32 = 2;
/// Tries at giving memory back.
const RELEASE_TRIES: u32 = 3;

/// An engine did not set memory aside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct NotReserved {
    pub(crate) engine: SocketAddr,
    pub(crate) cause: String,
}

/// Memory set aside on several engines for one prompt. Dropped, it is given back.
pub(crate) struct Reservations {
    control: Arc<dyn EngineControl>,
    held: Vec<(SocketAddr, String)>,
    /// End with the reservations.
    renewals: JoinSet<()>,
    lost: CancellationToken,
}

impl Reservations {
    /// Sets memory aside on all the engines, or on none.
    pub(crate) async fn take(
        control: Arc<dyn EngineControl>,
        engines: &[SocketAddr],
        id: WorkId,
        tokens: u64,
        longest: Duration,
    ) -> Result<Self, NotReserved> {
        let hold = HOLD.min(longest);
        let orders = engines
            .iter()
            .enumerate()
            .map(|(i, engine)| (*engine, format!("{id}-{i}")));
        let held: Vec<_> = orders.collect();
        let tasks = held.iter().cloned().map(|(engine, id)| {
            let control = Arc::clone(&control);
            tokio::spawn(async move { reserve(&*control, engine, &id, tokens, hold).await })
        });
        let tasks: Vec<_> = tasks.collect();
        let lost = CancellationToken::new();
        let mut renewals = JoinSet::new();
        for (engine, id) in held.iter().cloned() {
            renewals.spawn(renew(
                Arc::clone(&control),
                engine,
                id,
                tokens,
                hold,
                lost.clone(),
            ));
        }
        // Gives back what was taken, whatever happens below.
        let reservations = Self {
            control,
            held,
            renewals,
            lost,
        };
        for (task, engine) in tasks.into_iter().zip(engines) {
            let reserved = task.await.map_err(|e| e.to_string()).flatten();
            reserved.map_err(|cause| NotReserved {
                engine: *engine,
                cause,
            })?;
        }
        Ok(reservations)
    }

    /// Cancelled when an engine no longer extends its reservation: the request can't end well.
    pub(crate) fn lost(&self) -> &CancellationToken {
        &self.lost
    }

    /// The engines and reservations, in order.
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
) -> Result<(), String> {
    let answer = timeout(ORDER_LIMIT, control.reserve(engine, id, tokens, hold)).await;
    match answer.map_err(|_| format!("{engine} did not answer the order"))?? {
        ReserveAnswer::Held => Ok(()),
        ReserveAnswer::Full => Err(format!("{engine} has no memory free")),
    }
}

/// Extends one reservation again and again; cancels `lost` when its engine no longer answers.
async fn renew(
    control: Arc<dyn EngineControl>,
    engine: SocketAddr,
    id: String,
    tokens: u64,
    hold: Duration,
    lost: CancellationToken,
) {
    let mut failures = 0;
    while failures < LOST_AFTER {
        sleep(RENEW_EVERY).await;
        match reserve(&*control, engine, &id, tokens, hold).await {
            Ok(()) => failures = 0,
            Err(cause) => {
                failures += 1;
                spdlog::warn!("reservation not extended", kv: {
                    engine: = engine, reservation = id.as_str(), cause = cause.as_str(), failures
                });
            }
        }
    }
    lost.cancel();
}

async fn release(control: Arc<dyn EngineControl>, engine: SocketAddr, id: String) {
    for _ in 0..RELEASE_TRIES {
        match timeout(ORDER_LIMIT, control.release(engine, &id)).await {
            Ok(Ok(())) => return,
            Ok(Err(cause)) => {
                spdlog::warn!("reservation not released", kv: { engine: = engine, reservation = id.as_str(), cause = cause.as_str() })
            }
            Err(_) => {
                spdlog::warn!("reservation not released", kv: { engine: = engine, reservation = id.as_str(), cause = "no answer" })
            }
        }
    }
}
