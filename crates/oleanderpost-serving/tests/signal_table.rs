//! What nodes know of the limits that an upstream states, with responses and messages that are delayed, lost,
//! repeated or out of order.

use std::time::Duration;

use bolero::{TypeGenerator, check};
use oleanderpost_serving::{
    BootTime, DataCentreName, RequestRate, ResponseHead, ServiceName, SignalTable, SignalVersion,
    Upstream, UpstreamId, UpstreamSignal,
};
use oleanderpost_types::VmId;

/// Number of nodes; the first is the one that the others send their signals to.
const NODES: usize = 3;

#[derive(Clone, Debug, TypeGenerator)]
enum Step {
    /// The upstream states this limit from now on; 0 for none.
    SetLimit(#[generator(0..3u8)] u8),
    /// The upstream begins to shut down.
    Leave,
    /// The process of the upstream is replaced.
    Restart,
    /// A node sends a request.
    Send(#[generator(0..NODES)] usize),
    /// The upstream responds to the oldest, newest or a middle request.
    Respond(u8),
    /// A response arrives.
    Receive(u8),
    /// A node sends its news to the first one.
    Report(#[generator(1..NODES)] usize),
    /// A node receives the news of the first one; kept for a repeated delivery.
    Follow(#[generator(1..NODES)] usize),
    /// An earlier message is delivered again.
    Repeat(u8, #[generator(0..NODES)] usize),
    Advance(u8),
}

struct Response {
    node: usize,
    upstream: Upstream,
    head: ResponseHead,
    sent_at: BootTime,
}

struct Model {
    now: BootTime,
    upstream: Upstream,
    limit: Option<RequestRate>,
    leaving: bool,
    tables: Vec<SignalTable>,
    seen: Vec<SignalVersion>,
    requests: Vec<(usize, BootTime)>,
    responses: Vec<Response>,
    messages: Vec<Vec<UpstreamSignal>>,
}

fn node_name(n: usize) -> VmId {
    VmId::new(&format!("node-{n}")).unwrap()
}

fn pick<T>(items: &mut Vec<T>, n: u8) -> Option<T> {
    (!items.is_empty()).then(|| items.remove(usize::from(n) % items.len()))
}

impl Model {
    fn new() -> Self {
        Self {
            now: BootTime::new(Duration::from_secs(100)),
            upstream: Upstream {
                id: UpstreamId::new("u"),
                service: ServiceName::new("s"),
                address: ([127, 0, 0, 1], 1).into(),
                data_centre: DataCentreName::new("dc-a"),
                slots: 1,
                draining: false,
                started_at: Some(1),
                cold_left_ms: None,
            },
            limit: None,
            leaving: false,
            tables: (0..NODES).map(|n| SignalTable::new(n as u64 + 1)).collect(),
            seen: vec![SignalVersion::default(); NODES],
            requests: Vec::new(),
            responses: Vec::new(),
            messages: Vec::new(),
        }
    }

    fn advance(&mut self, ms: u8) {
        self.now = self.now.after(Duration::from_millis(u64::from(ms)));
    }

    fn respond(&mut self, node: usize, sent_at: BootTime) {
        let head = ResponseHead {
            has_origin_proof: true,
            request_limit: self.limit,
            leaving: self.leaving,
            ..ResponseHead::default()
        };
        self.responses.push(Response {
            node,
            upstream: self.upstream.clone(),
            head,
            sent_at,
        });
    }

    fn receive(&mut self, response: &Response) {
        let table = &mut self.tables[response.node];
        let known = (
            table.limit(&response.upstream),
            table.is_leaving(&response.upstream),
        );
        let changed = table.note_response(
            &response.upstream,
            &response.head,
            response.sent_at,
            self.now,
        );
        let limit = table.limit(&response.upstream);
        let leaving = table.is_leaving(&response.upstream);
        assert_eq!(changed, known != (limit, leaving));
        assert!(
            leaving || !known.1,
            "a process does not take back that it shuts down"
        );
        if response.head.request_limit.is_some() {
            assert_eq!(limit, response.head.request_limit);
        }
    }

    fn deliver(&mut self, to: usize, from: usize, signals: &[UpstreamSignal]) {
        for signal in signals {
            self.tables[to].apply(&node_name(from), signal, self.now);
        }
    }

    fn report(&mut self, node: usize) {
        let signals = self.tables[node].take_unsent(self.now);
        self.deliver(0, node, &signals);
        self.messages.push(signals);
    }

    fn follow(&mut self, node: usize) {
        let (signals, version) = self.tables[0].changes_since(self.seen[node], self.now);
        self.seen[node] = version;
        self.deliver(node, 0, &signals);
        self.messages.push(signals);
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::SetLimit(0) => self.limit = None,
            Step::SetLimit(n) => self.limit = RequestRate::new(f64::from(*n)).ok(),
            Step::Restart => {
                self.upstream.started_at = self.upstream.started_at.map(|at| at + 1);
                self.limit = None;
                self.leaving = false;
                self.requests.clear();
            }
            Step::Leave => self.leaving = true,
            Step::Send(node) => self.requests.push((*node, self.now)),
            Step::Respond(n) => {
                if let Some((node, sent_at)) = pick(&mut self.requests, *n) {
                    self.respond(node, sent_at);
                }
            }
            Step::Receive(n) => {
                if let Some(response) = pick(&mut self.responses, *n) {
                    self.receive(&response);
                }
            }
            Step::Report(node) => self.report(*node),
            Step::Follow(node) => self.follow(*node),
            Step::Repeat(n, to) => {
                if let Some(signals) = pick(&mut self.messages, *n) {
                    self.deliver(*to, 0, &signals);
                }
            }
            Step::Advance(ms) => self.advance(*ms),
        }
    }
}

#[test]
fn next_response_corrects_whatever_a_node_believes() {
    check!().with_type::<Vec<Step>>().for_each(|steps| {
        let mut model = Model::new();
        for step in steps {
            model.step(step);
        }
        model.responses.clear();
        for node in 0..NODES {
            model.advance(1);
            model.respond(node, model.now);
            let response = model.responses.pop().unwrap();
            model.receive(&response);
            let table = &model.tables[node];
            assert_eq!(table.limit(&model.upstream), model.limit);
            assert_eq!(table.is_leaving(&model.upstream), model.leaving);
        }
    });
}

#[test]
fn limit_that_one_node_learns_reaches_all_nodes() {
    check!().with_type::<Vec<Step>>().for_each(|steps| {
        let mut model = Model::new();
        for step in steps {
            model.step(step);
        }
        // A new value, so that it is news to every node.
        model.limit = RequestRate::new(9.0).ok();
        model.advance(255);
        model.respond(1, model.now);
        let response = model.responses.pop().unwrap();
        model.receive(&response);
        model.advance(5);
        model.report(1);
        for node in 1..NODES {
            model.advance(5);
            model.follow(node);
        }
        for table in &model.tables {
            assert_eq!(table.limit(&model.upstream), model.limit);
            assert_eq!(table.is_leaving(&model.upstream), model.leaving);
        }
    });
}

#[test]
fn response_to_an_earlier_request_does_not_end_a_limit() {
    let mut model = Model::new();
    let earlier = model.now;
    model.advance(10);
    model.limit = RequestRate::new(2.0).ok();
    model.respond(0, model.now);
    model.limit = None;
    model.respond(0, earlier);
    let overtaken = model.responses.pop().unwrap();
    let naming = model.responses.pop().unwrap();
    model.receive(&naming);
    model.receive(&overtaken);
    assert_eq!(
        model.tables[0].limit(&model.upstream),
        RequestRate::new(2.0).ok()
    );
}

/// Guards against a fault found by the soak: a restarted process asked for a pause before its entry arrived, and the
/// entry ended the pause.
#[test]
fn pause_of_a_process_whose_entry_arrives_later_holds() {
    let mut table = SignalTable::new(1);
    let now = BootTime::now();
    let head = ResponseHead {
        pause: Some(Duration::from_secs(8)),
        ..ResponseHead::default()
    };
    let process = |started_at| Upstream {
        id: UpstreamId::new("u"),
        service: ServiceName::new("a"),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: DataCentreName::new("dc-a"),
        slots: 1,
        draining: false,
        started_at: Some(started_at),
        cold_left_ms: None,
    };
    let (before, after) = (process(1), process(2));
    table.note_response(&before, &head, now, now);
    for secs in [1, 7] {
        let at = now.after(Duration::from_secs(secs));
        assert!(table.pause_left(&after, at).is_some(), "{secs} s");
    }
    assert!(
        table
            .pause_left(&after, now.after(Duration::from_secs(8)))
            .is_none()
    );
}
