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

/// One way between two nodes.
const HOP: Duration = Duration::from_millis(1);
/// Time until a dead node is known to be unreachable.
const DIAL: Duration = Duration::from_secs(1);

/// The platform: all lists it ever had, and which one a reader gets.
pub struct Platform {
    pub lists: Mutex<Vec<(Instant, VmList)>>,
    newest: watch::Sender<u64>,
    pub down: Mutex<bool>,
    /// Lists by which readers are behind, while a stale replica answers.
    pub stale: Mutex<usize>,
    pub reads: AtomicU64,
    /// Nodes that do not reach the platform.
    pub blocked: Mutex<BTreeSet<VmId>>,
}

/// The platform as one node sees it.
pub struct Reader {
    own: VmId,
    platform: Arc<Platform>,
}

#[async_trait::async_trait]
impl VmSource for Reader {
    async fn list(&self, after: Revision, wait: Millis) -> Result<VmList> {
        if self.platform.blocked.lock().unwrap().contains(&self.own) {
            sleep(DIAL).await;
            return Err(Error::Source("not reached".to_owned()));
        }
        self.platform.list(after, wait).await
    }
}

impl Platform {
    pub fn new(list: VmList) -> Arc<Self> {
        Arc::new(Self {
            newest: watch::Sender::new(list.revision.get()),
            lists: Mutex::new(vec![(Instant::now(), list)]),
            down: Mutex::new(false),
            stale: Mutex::new(0),
            reads: AtomicU64::new(0),
            blocked: Mutex::default(),
        })
    }

    pub fn newest(&self) -> VmList {
        self.lists.lock().unwrap().last().unwrap().1.clone()
    }

    pub fn at(&self, revision: Revision) -> Option<VmList> {
        let lists = self.lists.lock().unwrap();
        lists
            .iter()
            .find(|(_, list)| list.revision == revision)
            .map(|(_, list)| list.clone())
    }

    /// Newest revision at the time `at`; zero before the first.
    pub fn revision_at(&self, at: Instant) -> Revision {
        let lists = self.lists.lock().unwrap();
        let newest = lists.iter().rev().find(|(since, _)| *since <= at);
        newest.map_or(Revision::new(0), |(_, list)| list.revision)
    }

    /// Publishes a list that `change` makes from the newest; its revision is greater by `step`.
    pub fn publish(&self, step: u64, change: impl FnOnce(&mut Vec<Vm>)) -> Revision {
        let mut list = self.newest();
        change(&mut list.vms);
        list.revision = Revision::new(list.revision.get() + step);
        let revision = list.revision;
        self.lists.lock().unwrap().push((Instant::now(), list));
        self.newest.send_replace(revision.get());
        revision
    }

    fn answer(&self) -> VmList {
        let lists = self.lists.lock().unwrap();
        let behind = *self.stale.lock().unwrap();
        lists[lists.len() - 1 - behind.min(lists.len() - 1)]
            .1
            .clone()
    }
}

#[async_trait::async_trait]
impl VmSource for Platform {
    async fn list(&self, after: Revision, wait: Millis) -> Result<VmList> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        sleep(HOP).await;
        let mut newest = self.newest.subscribe();
        let is_newer = newest.wait_for(|revision| *revision > after.get());
        let _ = timeout(wait.into(), is_newer).await;
        if *self.down.lock().unwrap() {
            return Err(Error::Source("down".to_owned()));
        }
        let list = self.answer();
        sleep(HOP).await;
        Ok(list)
    }
}

/// Messages and bytes of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
}

/// What carries messages between nodes.
#[derive(Default)]
pub struct Net {
    nodes: Mutex<HashMap<VmId, Weak<Roster>>>,
    /// Side of a partition on which a node is; nodes of different sides do not reach each other.
    pub sides: Mutex<HashMap<VmId, u8>>,
    known: Mutex<HashMap<(VmId, VmId), Reachability>>,
    pub traffic: Mutex<BTreeMap<&'static str, Traffic>>,
    pub spread_contacts: Mutex<bool>,
}

impl Net {
    fn reach(&self, from: &VmId, to: &VmId) -> Option<Arc<Roster>> {
        let sides = self.sides.lock().unwrap();
        if sides.get(from).copied().unwrap_or(0) != sides.get(to).copied().unwrap_or(0) {
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

    fn note(&self, from: &VmId, to: &VmId, reachable: bool) {
        let mut known = self.known.lock().unwrap();
        let entry = known.entry((from.clone(), to.clone())).or_default();
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

/// The network as one node sees it.
pub struct Port {
    own: VmId,
    net: Arc<Net>,
}

#[async_trait::async_trait]
impl RosterTransport for Port {
    async fn request(
        &self,
        to: &VmId,
        msg: RosterMessage,
        time_limit: Duration,
    ) -> Result<RosterMessage> {
        self.net.count(&msg);
        sleep(HOP).await;
        let Some(roster) = self.net.reach(&self.own, to) else {
            sleep(DIAL.min(time_limit)).await;
            self.net.note(&self.own, to, false);
            return Err(Error::Unreachable {
                peer: to.clone(),
                step: "connect",
                reason: "gone".to_owned(),
            });
        };
        let answer = roster.handle(&self.own, msg).unwrap();
        drop(roster);
        self.net.count(&answer);
        self.net.note(to, &self.own, true);
        sleep(HOP).await;
        self.net.note(&self.own, to, true);
        Ok(answer)
    }

    fn send(&self, to: &VmId, msg: RosterMessage) {
        let mut msg = msg;
        if let RosterMessage::News { contacts, .. } = &mut msg
            && !*self.net.spread_contacts.lock().unwrap()
        {
            contacts.clear();
        }
        self.net.count(&msg);
        let (own, to, net) = (self.own.clone(), to.clone(), self.net.clone());
        tokio::spawn(async move {
            sleep(HOP).await;
            if let Some(roster) = net.reach(&own, &to) {
                assert!(roster.handle(&own, msg).is_none());
            }
        });
    }

    fn reachability(&self, peer: &VmId) -> Reachability {
        let known = self.net.known.lock().unwrap();
        known
            .get(&(self.own.clone(), peer.clone()))
            .copied()
            .unwrap_or_default()
    }
}

/// Remembers the revisions that a node took up.
#[derive(Default)]
pub struct Seen(pub Mutex<Vec<Arc<VmList>>>);

impl ListObserver for Seen {
    fn observe(&self, list: &Arc<VmList>) {
        self.0.lock().unwrap().push(list.clone());
    }
}

pub struct Member {
    pub vm: VmId,
    /// Start number of its process.
    pub incarnation: u64,
    pub roster: Arc<Roster>,
    pub seen: Arc<Seen>,
}

pub struct Fleet {
    pub platform: Arc<Platform>,
    pub net: Arc<Net>,
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

/// Six data centres in large fleets, three in small ones.
fn data_centre(number: usize) -> DataCentre {
    DataCentre::new(&format!("dc-{}", number % 6)).unwrap()
}

impl Fleet {
    /// `nodes` entry VMs, all running, and `upstreams` others in the list.
    pub fn new(nodes: usize, upstreams: usize, timings: RosterTimings) -> Self {
        let vms = (0..nodes)
            .map(entry)
            .chain((0..upstreams).map(upstream))
            .collect();
        let revision = Revision::new(1);
        let platform = Platform::new(VmList { revision, vms });
        let net = Arc::new(Net::default());
        *net.spread_contacts.lock().unwrap() = true;
        let mut fleet = Self {
            platform,
            net,
            members: Vec::new(),
            timings,
            incarnation: 100,
        };
        for number in 0..nodes {
            fleet.start(number);
        }
        fleet
    }

    /// Starts the process of an entry VM, in place of one that runs there.
    pub fn start(&mut self, number: usize) {
        self.stop(number);
        self.incarnation += 1;
        let vm = entry(number);
        let rng = ChaCha8Rng::seed_from_u64(self.incarnation);
        let incarnation = Incarnation::new(self.incarnation);
        let source = Arc::new(Reader {
            own: vm.id.clone(),
            platform: self.platform.clone(),
        });
        let seeds = HashMap::from([
            (entry(0).id, entry(0).address),
            (entry(1).id, entry(1).address),
        ]);
        let builder = RosterBuilder::new(vm.id.clone(), incarnation, vm.data_centre, source, rng);
        let roster = Arc::new(builder.with_timings(self.timings).with_seeds(seeds).build());
        let seen = Arc::new(Seen::default());
        roster.add_observer(seen.clone());
        self.net
            .nodes
            .lock()
            .unwrap()
            .insert(vm.id.clone(), Arc::downgrade(&roster));
        roster.start(Arc::new(self.port(number)));
        let member = Member {
            vm: vm.id,
            incarnation: self.incarnation,
            roster,
            seen,
        };
        self.members.push(member);
    }

    /// The network as an entry VM sees it.
    pub fn port(&self, number: usize) -> Port {
        Port {
            own: entry(number).id,
            net: self.net.clone(),
        }
    }

    /// Kills the process of an entry VM.
    pub fn stop(&mut self, number: usize) {
        let vm = entry(number).id;
        self.members.retain(|member| member.vm != vm);
        let mut known = self.net.known.lock().unwrap();
        known.retain(|(of, _), _| *of != vm);
    }

    pub fn member(&self, number: usize) -> &Member {
        let vm = entry(number).id;
        self.members.iter().find(|member| member.vm == vm).unwrap()
    }

    pub fn roster(&self, number: usize) -> &Roster {
        &self.member(number).roster
    }

    /// Waits until `done` holds on all nodes; gives the time it took, at most `limit`.
    pub async fn all(&self, limit: Duration, done: impl Fn(&Roster) -> bool) -> Option<Duration> {
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
    pub async fn converge(&self, limit: Duration) -> Option<Duration> {
        let newest = self.platform.newest().revision;
        self.all(limit, |roster| roster.view().revision == newest)
            .await
    }

    /// Parts the nodes that `is_far` chooses from the others.
    pub fn part(&self, is_far: impl Fn(usize) -> bool) {
        let mut sides = self.net.sides.lock().unwrap();
        for member in &self.members {
            let number: usize = member.vm.as_str()[3..].parse().unwrap();
            sides.insert(member.vm.clone(), u8::from(is_far(number)));
        }
    }

    pub fn heal(&self) {
        self.net.sides.lock().unwrap().clear();
    }

    pub fn live(&self) -> BTreeSet<VmId> {
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
