//! [`Platform`].

use std::{
    num::NonZeroU32,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use governor::{DefaultDirectRateLimiter, Quota, RateLimiter};
use tokio::{
    sync::Notify,
    time::{Instant, sleep, timeout_at},
};

use oleanderpost_types::{
    ConfigReply, FileName, Millis, ModelName, Outcome, Problem, RequestRate, Revision, Vm, VmId,
    VmList,
};

use crate::{
    CallCounts, Error, PlatformFaults, PlatformSettings, Result, config_store::ConfigStore,
    vm_store::VmStore,
};

/// Stand-in for the platform: configuration service, VM list and weight store.
#[derive(Debug)]
pub struct Platform {
    settings: PlatformSettings,
    inner: Mutex<Inner>,
    changed: Notify,
    config_limiter: DefaultDirectRateLimiter,
    weight_limiter: DefaultDirectRateLimiter,
}

#[derive(Debug)]
struct Inner {
    config: ConfigStore,
    vms: VmStore,
    calls: CallCounts,
    faults: PlatformFaults,
}

impl Platform {
    /// Creates a platform without files and VMs.
    #[must_use]
    pub fn new(settings: PlatformSettings) -> Self {
        let inner = Inner {
            config: ConfigStore::default(),
            vms: VmStore::new(),
            calls: CallCounts::default(),
            faults: PlatformFaults::default(),
        };
        Self {
            config_limiter: limiter(settings.config_reads),
            weight_limiter: limiter(settings.weight_fetches),
            settings,
            inner: Mutex::new(inner),
            changed: Notify::new(),
        }
    }

    /// Stores a fleet file.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] if the file is too large.
    pub fn put_file(&self, name: FileName, content: String) -> Result<Revision> {
        if content.len() as u64 > self.settings.max_value.get() {
            let detail = format!("a file has at most {} bytes", self.settings.max_value);
            return Err(Error::refused("too-long", 413, Outcome::NotRun, detail));
        }
        let revision = self.inner().config.put(name, Some(content));
        self.changed.notify_waiters();
        Ok(revision)
    }

    /// Deletes a fleet file.
    pub fn delete_file(&self, name: FileName) -> Revision {
        let revision = self.inner().config.put(name, None);
        self.changed.notify_waiters();
        revision
    }

    /// Returns the files changed after a revision; waits up to `wait` for a change.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] if the service is down or the read rate limit is exceeded.
    pub async fn config(&self, after: Revision, wait: Duration) -> Result<ConfigReply> {
        self.inner().calls.config += 1;
        self.check_rate(&self.config_limiter)?;
        self.apply_faults().await?;
        let newest = self.visible_revision();
        let until = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            let reply = self.inner().config.changes_after(after, newest);
            if !reply.entries.is_empty() || timeout_at(until, changed).await.is_err() {
                return Ok(reply);
            }
        }
    }

    /// Adds or replaces a VM.
    pub fn put_vm(&self, vm: Vm) -> Revision {
        let revision = self.inner().vms.put(vm);
        self.changed.notify_waiters();
        revision
    }

    /// Removes a VM.
    pub fn remove_vm(&self, id: &VmId) -> Revision {
        let revision = self.inner().vms.remove(id);
        self.changed.notify_waiters();
        revision
    }

    /// Returns the VM list; waits up to `wait` for a revision newer than `after`.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] if the platform is down.
    pub async fn vms(&self, after: Revision, wait: Duration) -> Result<VmList> {
        self.inner().calls.vms += 1;
        self.apply_faults().await?;
        let until = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            let (list, next) = self.visible_vms();
            if list.revision > after || Instant::now() >= until {
                return Ok(list);
            }
            let until = next.map_or(until, |next| next.min(until));
            let _ = timeout_at(until, changed).await;
        }
    }

    /// Returns the weights of a model version.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] if the platform is down or the fetch rate limit is exceeded.
    pub async fn weights(&self, model: &ModelName, version: u64) -> Result<Bytes> {
        self.inner().calls.weights += 1;
        self.check_rate(&self.weight_limiter)?;
        self.apply_faults().await?;
        let name = format!("{model} {version}\n");
        let len = self.settings.weight_size.get() as usize;
        Ok(name.bytes().cycle().take(len).collect())
    }

    /// Returns the number of calls received so far.
    #[must_use]
    pub fn calls(&self) -> CallCounts {
        self.inner().calls
    }

    /// Returns the current faults.
    #[must_use]
    pub fn faults(&self) -> PlatformFaults {
        self.inner().faults.clone()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.inner().faults = faults;
        self.changed.notify_waiters();
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn check_rate(&self, limiter: &DefaultDirectRateLimiter) -> Result<()> {
        if limiter.check().is_ok() {
            return Ok(());
        }
        self.inner().calls.limited += 1;
        Err(Error::Refused(Problem {
            kind: "rate-limited".to_owned(),
            status: 429,
            detail: "too many calls a second".to_owned(),
            outcome: Outcome::NotRun,
            retry_after_ms: Some(Millis::new(1_000)),
        }))
    }

    /// Applies the faults that affect all reads: delay, hang and outage.
    async fn apply_faults(&self) -> Result<()> {
        let faults = self.faults();
        sleep(faults.slow_ms.into()).await;
        while self.faults().hang {
            let changed = self.changed.notified();
            if self.faults().hang {
                changed.await;
            }
        }
        if !self.faults().down {
            return Ok(());
        }
        let detail = "the platform is down".to_owned();
        Err(Error::refused("down", 503, Outcome::NotRun, detail))
    }

    /// Returns the newest revision held by the replica that answers this call.
    fn visible_revision(&self) -> Revision {
        let inner = self.inner();
        let stale = inner.faults.stale;
        let answering = stale.filter(|stale| inner.calls.config.is_multiple_of(stale.every.max(1)));
        answering.map_or(Revision::new(u64::MAX), |stale| stale.revision)
    }

    fn visible_vms(&self) -> (VmList, Option<Instant>) {
        let inner = self.inner();
        let lag = self
            .settings
            .list_lag_ms
            .saturating_add(inner.faults.list_lag_ms)
            .into();
        let list = inner
            .vms
            .visible_list(lag, &inner.faults.skip_list_revisions);
        (list.clone(), inner.vms.next_visible(lag))
    }
}

fn limiter(rate: RequestRate) -> DefaultDirectRateLimiter {
    let rate = NonZeroU32::new(rate.get()).unwrap_or(NonZeroU32::MIN);
    RateLimiter::direct(Quota::per_second(rate))
}
