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
const HOLD_TIME: Duration = Duration::from_millis(3_000);
/// Pause between renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(900);
/// Time for the answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Orders in a row that an engine leaves unanswered, after which it counts as lost.
const MAX_RENEW_FAILURES: u32 = 2;
/// Tries at giving memory back.
const MAX_RELEASE_ATTEMPTS: u32 = 3;

/// An engine did not set memory aside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ReserveError {
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
    pub(crate) async fn reserve_all(
        control: Arc<dyn EngineControl>,
        engines: &[SocketAddr],
        id: WorkId,
        tokens: u64,
        max_hold: Duration,
    ) -> Result<Self, ReserveError> {
        let hold = HOLD_TIME.min(max_hold);
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
            renewals.spawn(keep_renewed(
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
            reserved.map_err(|cause| ReserveError {
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
    let answer = timeout(ORDER_TIMEOUT, control.reserve(engine, id, tokens, hold)).await;
    match answer.map_err(|_| format!("{engine} did not reply to the reservation in time"))?? {
        ReserveAnswer::Held => Ok(()),
        ReserveAnswer::Full => Err(format!("{engine} has too little free memory")),
    }
}

/// Extends one reservation again and again; cancels `lost` when its engine no longer answers.
async fn keep_renewed(
    control: Arc<dyn EngineControl>,
    engine: SocketAddr,
    id: String,
    tokens: u64,
    hold: Duration,
    lost: CancellationToken,
) {
    let mut failures = 0;
    while failures < MAX_RENEW_FAILURES {
        sleep(RENEW_INTERVAL).await;
        match reserve(&*control, engine, &id, tokens, hold).await {
            Ok(()) => failures = 0,
            Err(cause) => {
                failures += 1;
                spdlog::warn!("failed to renew reservation", kv: {
                    engine: = engine, reservation = id.as_str(), cause = cause.as_str(), failures
                });
            }
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
