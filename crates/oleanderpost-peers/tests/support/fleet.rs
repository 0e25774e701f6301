//! Rosters of many nodes in one process, with a fake platform and a fake network, under paused time.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::{
        Arc, Mutex, Weak,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use oleanderpost_peers::{
    Error, ListObserver, MessageKind, Reachability, Result, Roster, RosterBuilder, RosterMessage,
    RosterTimings, RosterTransport, VmSource,
};
use oleanderpost_types::{
    DataCentre, Incarnation, Millis, Revision, Vm, VmId, VmList, VmRole, VmState,
};
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout},
};

/// One-way network delay between two nodes.
const ONE_WAY_DELAY: Duration = Duration::from_millis(1);
/// Time until a request to a node that is down fails.
const DIAL_TIMEOUT: Duration = Duration::from_secs(1);

/// The platform: all lists that it published, and faults that tests set.
pub struct FakePlatform {
    pub lists: Mutex<Vec<(Instant, VmList)>>,
    newest: watch::Sender<u64>,
    pub down: Mutex<bool>,
    /// Number of lists by which a stale replica lags; 0 for no lag.
    pub stale_by: Mutex<usize>,
    pub reads: AtomicU64,
    /// Nodes that cannot reach the platform.
    pub blocked: Mutex<BTreeSet<VmId>>,
}

/// Access of one node to the platform.
pub struct PlatformClient {
    own: VmId,
    platform: Arc<FakePlatform>,
}

#[async_trait::async_trait]
impl VmSource for PlatformClient {
    async fn list(&self, after: Revision, wait: Millis) -> Result<VmList> {
        if self.platform.blocked.lock().unwrap().contains(&self.own) {
            sleep(DIAL_TIMEOUT).await;
            return Err(Error::Source("not reached".to_owned()));
        }
        self.platform.list(after, wait).await
    }
}

impl FakePlatform {
    pub fn new(list: VmList) -> Arc<Self> {
        Arc::new(Self {
            newest: watch::Sender::new(list.revision.get()),
            lists: Mutex::new(vec![(Instant::now(), list)]),
            down: Mutex::new(false),
            stale_by: Mutex::new(0),
            reads: AtomicU64::new(0),
            blocked: Mutex::default(),
        })
    }

    pub fn newest(&self) -> VmList {
        self.lists.lock().unwrap().last().unwrap().1.clone()
    }

    pub fn list_at(&self, revision: Revision) -> Option<VmList> {
        let lists = self.lists.lock().unwrap();
        lists
            .iter()
            .find(|(_, list)| list.revision == revision)
            .map(|(_, list)| list.clone())
    }

    /// Newest revision at the time `at`; 0 before the first list.
    pub fn revision_at(&self, at: Instant) -> Revision {
        let lists = self.lists.lock().unwrap();
        let newest = lists.iter().rev().find(|(since, _)| *since <= at);
        newest.map_or(Revision::new(0), |(_, list)| list.revision)
    }

    /// Applies `change` to the newest list and publishes the result with a revision greater by `step`.
    pub fn publish(&self, step: u64, change: impl FnOnce(&mut Vec<Vm>)) -> Revision {
        let mut list = self.newest();
        change(&mut list.vms);
        list.revision = Revision::new(list.revision.get() + step);
        let revision = list.revision;
        self.lists.lock().unwrap().push((Instant::now(), list));
        self.newest.send_replace(revision.get());
        revision
    }

    fn list_to_serve(&self) -> VmList {
        let lists = self.lists.lock().unwrap();
        let lag = *self.stale_by.lock().unwrap();
        lists[lists.len() - 1 - lag.min(lists.len() - 1)].1.clone()
    }
}

#[async_trait::async_trait]
impl VmSource for FakePlatform {
    async fn list(&self, after: Revision, wait: Millis) -> Result<VmList> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        sleep(ONE_WAY_DELAY).await;
        let mut newest = self.newest.subscribe();
        let is_newer = newest.wait_for(|revision| *revision > after.get());
        let _ = timeout(wait.into(), is_newer).await;
        if *self.down.lock().unwrap() {
            return Err(Error::Source("down".to_owned()));
        }
        let list = self.list_to_serve();
        sleep(ONE_WAY_DELAY).await;
        Ok(list)
    }
}

/// Number and bytes of the messages of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
}

/// The network between the nodes.
#[derive(Default)]
pub struct FakeNetwork {
    nodes: Mutex<HashMap<VmId, Weak<Roster>>>,
    /// Partition of each node; nodes in different partitions cannot reach each other.
    pub partitions: Mutex<HashMap<VmId, u8>>,
    reachability: Mutex<HashMap<(VmId, VmId), Reachability>>,
    pub traffic: Mutex<BTreeMap<&'static str, Traffic>>,
    pub deliver_contacts: Mutex<bool>,
}

impl FakeNetwork {
    fn find_reachable(&self, from: &VmId, to: &VmId) -> Option<Arc<Roster>> {
        let partitions = self.partitions.lock().unwrap();
        if partitions.get(from).copied().unwrap_or(0) != partitions.get(to).copied().unwrap_or(0) {
            return None;
        }
        self.nodes.lock().unwrap().get(to)?.upgrade()
    }

    fn count(&self, msg: &RosterMessage) {
        let mut buf = Vec::new();
        ciborium::into_writer(msg, &mut buf).unwrap();
        let mut traffic = self.traffic.lock().unwrap();
        let entry = traffic.entry(msg.kind()).or_default();
        entry.messages += 1;
        entry.bytes += buf.len() as u64;
    }

    fn record_reachability(&self, from: &VmId, to: &VmId, reachable: bool) {
        let mut reachability = self.reachability.lock().unwrap();
        let entry = reachability.entry((from.clone(), to.clone())).or_default();
        match (reachable, &entry) {
            (true, _) => *entry = Reachability::Reachable,
            (false, Reachability::Unreachable { .. }) => {}
            (false, _) => {
                *entry = Reachability::Unreachable {
                    since: Instant::now(),
                }
            }
        }
    }
}

/// Access of one node to the network.
pub struct FakeTransport {
    own: VmId,
    network: Arc<FakeNetwork>,
}

#[async_trait::async_trait]
impl RosterTransport for FakeTransport {
    async fn request(
        &self,
        to: &VmId,
        msg: RosterMessage,
        time_limit: Duration,
    ) -> Result<RosterMessage> {
        self.network.count(&msg);
        sleep(ONE_WAY_DELAY).await;
        let Some(roster) = self.network.find_reachable(&self.own, to) else {
            sleep(DIAL_TIMEOUT.min(time_limit)).await;
            self.network.record_reachability(&self.own, to, false);
            return Err(Error::Unreachable {
                peer: to.clone(),
                step: "connect",
                reason: "gone".to_owned(),
            });
        };
        let answer = roster.handle(&self.own, msg).unwrap();
        drop(roster);
        self.network.count(&answer);
        self.network.record_reachability(to, &self.own, true);
        sleep(ONE_WAY_DELAY).await;
        self.network.record_reachability(&self.own, to, true);
        Ok(answer)
    }

    fn send(&self, to: &VmId, msg: RosterMessage) {
        let mut msg = msg;
        if let RosterMessage::News { contacts, .. } = &mut msg
            && !*self.network.deliver_contacts.lock().unwrap()
        {
            contacts.clear();
        }
        self.network.count(&msg);
        let (own, to, network) = (self.own.clone(), to.clone(), self.network.clone());
        tokio::spawn(async move {
            sleep(ONE_WAY_DELAY).await;
            if let Some(roster) = network.find_reachable(&own, &to) {
                assert!(roster.handle(&own, msg).is_none());
            }
        });
    }

    fn reachability(&self, peer: &VmId) -> Reachability {
        let reachability = self.network.reachability.lock().unwrap();
        reachability
            .get(&(self.own.clone(), peer.clone()))
            .copied()
            .unwrap_or_default()
    }
}

/// Records the lists that a node applied.
#[derive(Default)]
pub struct ListRecorder(pub Mutex<Vec<Arc<VmList>>>);

impl ListObserver for ListRecorder {
    fn observe(&self, list: &Arc<VmList>) {
        self.0.lock().unwrap().push(list.clone());
    }
}

pub struct Member {
    pub vm: VmId,
    /// Incarnation of its process.
    pub incarnation: u64,
    pub roster: Arc<Roster>,
    pub recorder: Arc<ListRecorder>,
}

pub struct Fleet {
    pub platform: Arc<FakePlatform>,
    pub network: Arc<FakeNetwork>,
    pub members: Vec<Member>,
    pub timings: RosterTimings,
    incarnation: u64,
}

pub fn entry(number: usize) -> Vm {
    Vm {
        id: VmId::new(&format!("vm-{number:04}")).unwrap(),
        role: VmRole::Entry,
        state: VmState::Live,
        data_centre: data_centre(number),
        address: format!("10.0.{}.{}:7400", number / 250, number % 250 + 1)
            .parse()
            .unwrap(),
        incarnation: Incarnation::new(1),
    }
}

pub fn upstream(number: usize) -> Vm {
    Vm {
        id: VmId::new(&format!("up-{number:04}")).unwrap(),
        role: VmRole::Upstream,
        address: format!("10.1.{}.{}:8000", number / 250, number % 250 + 1)
            .parse()
            .unwrap(),
        ..entry(number)
    }
}

/// Assigns nodes to six data centres in turn.
fn data_centre(number: usize) -> DataCentre {
    DataCentre::new(&format!("dc-{}", number % 6)).unwrap()
}

impl Fleet {
    /// A fleet of `nodes` entry VMs, all running, with `upstreams` other VMs in the list.
    pub fn new(nodes: usize, upstreams: usize, timings: RosterTimings) -> Self {
        let vms = (0..nodes)
            .map(entry)
            .chain((0..upstreams).map(upstream))
            .collect();
        let revision = Revision::new(1);
        let platform = FakePlatform::new(VmList { revision, vms });
        let network = Arc::new(FakeNetwork::default());
        *network.deliver_contacts.lock().unwrap() = true;
        let mut fleet = Self {
            platform,
            network,
            members: Vec::new(),
            timings,
            incarnation: 100,
        };
        for number in 0..nodes {
            fleet.start(number);
        }
        fleet
    }

    /// Starts the process of an entry VM, and stops a running one first.
    pub fn start(&mut self, number: usize) {
        self.stop(number);
        self.incarnation += 1;
        let vm = entry(number);
        let rng = ChaCha8Rng::seed_from_u64(self.incarnation);
        let incarnation = Incarnation::new(self.incarnation);
        let source = Arc::new(PlatformClient {
            own: vm.id.clone(),
            platform: self.platform.clone(),
        });
        let seeds = HashMap::from([
            (entry(0).id, entry(0).address),
            (entry(1).id, entry(1).address),
        ]);
        let builder = RosterBuilder::new(vm.id.clone(), incarnation, vm.data_centre, source, rng);
        let roster = Arc::new(builder.with_timings(self.timings).with_seeds(seeds).build());
        let recorder = Arc::new(ListRecorder::default());
        roster.add_observer(recorder.clone());
        self.network
            .nodes
            .lock()
            .unwrap()
            .insert(vm.id.clone(), Arc::downgrade(&roster));
        roster.start(Arc::new(self.transport(number)));
        let member = Member {
            vm: vm.id,
            incarnation: self.incarnation,
            roster,
            recorder,
        };
        self.members.push(member);
    }

    /// Access of an entry VM to the network.
    pub fn transport(&self, number: usize) -> FakeTransport {
        FakeTransport {
            own: entry(number).id,
            network: self.network.clone(),
        }
    }

    /// Stops the process of an entry VM without a leaving mark.
    pub fn stop(&mut self, number: usize) {
        let vm = entry(number).id;
        self.members.retain(|member| member.vm != vm);
        let mut reachability = self.network.reachability.lock().unwrap();
        reachability.retain(|(from, _), _| *from != vm);
    }

    pub fn member(&self, number: usize) -> &Member {
        let vm = entry(number).id;
        self.members.iter().find(|member| member.vm == vm).unwrap()
    }

    pub fn roster(&self, number: usize) -> &Roster {
        &self.member(number).roster
    }

    /// Waits until `done` holds on all nodes; returns the time that took, or `None` after `limit`.
    pub async fn wait_until_all(
        &self,
        limit: Duration,
        done: impl Fn(&Roster) -> bool,
    ) -> Option<Duration> {
        let started = Instant::now();
        while !self.members.iter().all(|member| done(&member.roster)) {
            if started.elapsed() > limit {
                return None;
            }
            sleep(Duration::from_millis(1)).await;
        }
        Some(started.elapsed())
    }

    /// Waits until all nodes hold the newest list.
    pub async fn wait_converged(&self, limit: Duration) -> Option<Duration> {
        let newest = self.platform.newest().revision;
        self.wait_until_all(limit, |roster| roster.view().revision == newest)
            .await
    }

    /// Separates the nodes that `is_separated` selects from the others.
    pub fn partition(&self, is_separated: impl Fn(usize) -> bool) {
        let mut partitions = self.network.partitions.lock().unwrap();
        for member in &self.members {
            let number: usize = member.vm.as_str()[3..].parse().unwrap();
            partitions.insert(member.vm.clone(), u8::from(is_separated(number)));
        }
    }

    pub fn heal(&self) {
        self.network.partitions.lock().unwrap().clear();
    }

    pub fn running_vms(&self) -> BTreeSet<VmId> {
        self.members
            .iter()
            .map(|member| member.vm.clone())
            .collect()
    }
}

/// Sets the state of one VM in a list.
pub fn set_state(vms: &mut [Vm], vm: &VmId, state: VmState) {
    vms.iter_mut().find(|known| known.id == *vm).unwrap().state = state;
}
