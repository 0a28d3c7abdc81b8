use std::{cell::RefCell, collections::VecDeque, net::SocketAddr, rc::Rc, time::Duration};

use async_std::task::{JoinHandle, sleep, spawn_local};
use base::{Millis, Name, Size, now};
use http::{Request, Response, Server, json};
use http_types::Method;
use plat::{Acknowledge, Listing, LoadReport, Renew, Start, Stop, Throttle};
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::{Deserialize, Serialize};

use crate::{Interference, LedgerEntry, Runs, What};

/// Interval at which attempts are advanced.
const STEP_INTERVAL: Duration = Duration::from_millis(20);

/// Properties of a backend server.
#[derive(Debug, Clone)]
pub struct BackendSetup {
    /// VM identifier.
    pub id: Name,
    /// Resources for tasks.
    pub size: Size,
    /// Maximum number of requests in progress.
    pub slots: usize,
    /// Mean time of a request on an idle server, in milliseconds.
    pub service_time: Millis,
    /// Age of the usage reports that it gives, in milliseconds.
    pub report_lag: Millis,
    /// Interference between kinds of tasks and requests.
    pub pairs: Vec<Interference>,
    /// Seed of the random variation of service times.
    pub seed: u64,
}

/// Faults that are injected until they are set anew. Zero means none.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Faults {
    fail_all: bool,
    refuse: bool,
    lose_answers: u32,
    slow_ms: Millis,
    leaving: bool,
    real_percent: u64,
    cross_answers: u32,
}

#[derive(Debug)]
struct State {
    setup: BackendSetup,
    runs: Runs,
    faults: Faults,
    inflight: usize,
    incarnation: u64,
    usage: VecDeque<LoadReport>,
    service_times: Vec<f64>,
    rng: StdRng,
}

/// A running stand-in for a backend server.
#[derive(Debug)]
pub struct Backend {
    /// Address that it listens on.
    pub addr: SocketAddr,
    _server: Server,
    _step_task: JoinHandle<()>,
}

#[derive(Debug, Serialize)]
struct ServiceReply<'a> {
    request: &'a str,
    service: &'a str,
    backend: &'a str,
    echo: &'a str,
}

impl Backend {
    /// Listens on `addr` for service requests and for the control of tasks.
    ///
    /// # Errors
    /// [`http::Error::Listen`] if the address cannot be bound.
    pub async fn bind(addr: SocketAddr, setup: BackendSetup) -> http::Result<Backend> {
        let runs = Runs::open(setup.size, setup.pairs.clone());
        let state = Rc::new(RefCell::new(State {
            rng: StdRng::seed_from_u64(setup.seed),
            setup,
            runs,
            faults: Faults::default(),
            inflight: 0,
            incarnation: now().unix,
            usage: VecDeque::new(),
            service_times: Vec::new(),
        }));
        let shared = Rc::clone(&state);
        let server = http::bind(addr, move |req| handle(Rc::clone(&shared), req)).await?;
        let step_task = spawn_local(async move {
            loop {
                sleep(STEP_INTERVAL).await;
                state.borrow_mut().step();
            }
        });
        Ok(Backend { addr: server.addr, _server: server, _step_task: step_task })
    }
}

impl State {
    fn step(&mut self) {
        let now = now();
        self.runs.advance(now);
        let newest = self.usage.back().map_or(0, |report| report.asof);
        if now.unix < newest + 500 {
            return;
        }
        let service_times = std::mem::take(&mut self.service_times);
        let service = (!service_times.is_empty())
            .then(|| service_times.iter().sum::<f64>() / service_times.len() as f64);
        let report = LoadReport { asof: now.unix, tasks: self.runs.usage(), service };
        self.usage.push_back(report);
        let lag = self.setup.report_lag;
        while self.usage.len() > 1 && self.usage[1].asof + lag <= now.unix {
            self.usage.pop_front();
        }
    }

    fn listing(&self) -> Listing {
        let visible = self.usage.front().filter(|r| r.asof + self.setup.report_lag <= now().unix);
        Listing {
            incarnation: self.incarnation,
            leaving: self.faults.leaving,
            tasks: self.runs.reports(),
            usage: visible.cloned().unwrap_or_default(),
        }
    }

    fn set_faults(&mut self, faults: Faults) {
        self.runs.fail_all = faults.fail_all;
        self.runs.real_percent = faults.real_percent;
        self.faults = faults;
    }

    fn record(&mut self, what: What, id: &str, key: Option<&str>) {
        let committed = self.runs.committed();
        let entry = LedgerEntry {
            at: now().unix,
            what,
            id: id.into(),
            attempt: 0,
            work: 0,
            key: key.map(Name::from),
            committed,
        };
        self.runs.ledger.entries.push(entry);
    }
}

type Shared = Rc<RefCell<State>>;

async fn handle(state: Shared, req: Request) -> Option<Response> {
    if req.path == "/v1/faults" {
        return Some(handle_faults(&state, &req));
    }
    if req.path == "/v1/ledger" {
        return Some(json(200, &state.borrow().runs.ledger));
    }
    let (refuse, slow) = {
        let state = state.borrow();
        (state.faults.refuse, state.faults.slow_ms)
    };
    if refuse {
        return None;
    }
    if slow > 0 {
        sleep(Duration::from_millis(slow)).await;
    }
    let response = match req.path.strip_prefix("/v1/serve/") {
        Some(service) => handle_service(&state, service, &req).await,
        None => handle_control(&state, &req).unwrap_or_else(|refusal| refusal),
    };
    let mut state = state.borrow_mut();
    if req.method == Method::Post && state.faults.lose_answers > 0 {
        state.faults.lose_answers -= 1;
        return None;
    }
    Some(response)
}

fn handle_faults(state: &Shared, req: &Request) -> Response {
    match req.decode::<Faults>() {
        Ok(faults) => {
            state.borrow_mut().set_faults(faults.clone());
            json(200, &faults)
        }
        Err(refusal) => refusal,
    }
}

fn handle_control(state: &Shared, req: &Request) -> Result<Response, Response> {
    let now = now();
    let mut state = state.borrow_mut();
    let response = match (req.method, req.path.as_str()) {
        (Method::Get, "/v1/tasks") => json(200, &state.listing()),
        (Method::Post, "/v1/tasks/start") => {
            let starts: Vec<Start> = req.decode()?;
            let replies: Vec<_> = starts.iter().map(|start| state.runs.start(start, now)).collect();
            json(200, &replies)
        }
        (Method::Post, "/v1/tasks/renew") => {
            json(200, &state.runs.renew(&req.decode::<Renew>()?, now))
        }
        (Method::Post, "/v1/tasks/stop") => {
            json(200, &state.runs.stop(&req.decode::<Stop>()?, now))
        }
        (Method::Post, "/v1/tasks/throttle") => {
            json(200, &state.runs.throttle(&req.decode::<Throttle>()?, now))
        }
        (Method::Post, "/v1/tasks/acknowledge") => {
            state.runs.acknowledge(&req.decode::<Acknowledge>()?);
            json(200, &true)
        }
        _ => Response::error(404, "no such path"),
    };
    Ok(response)
}

/// Executes a service request. It holds a slot for a time that grows with the
/// interference of running attempts.
async fn handle_service(state: &Shared, service: &str, req: &Request) -> Response {
    let id = req.header("x-request-id").unwrap_or("").to_owned();
    let key = req.header("x-key").map(str::to_owned);
    let time = {
        let mut state = state.borrow_mut();
        if state.inflight >= state.setup.slots {
            state.record(What::Overslot, &id, key.as_deref());
            return Response::error(503, "no free slot").with_header("x-not-run", "1");
        }
        state.inflight += 1;
        let spread = state.rng.random_range(0.7..1.3);
        state.setup.service_time as f64 * spread * state.runs.slowdown("service")
    };
    sleep(Duration::from_micros((time * 1000.0) as u64)).await;
    let mut state = state.borrow_mut();
    state.inflight -= 1;
    state.service_times.push(time);
    state.record(What::Request, &id, key.as_deref());
    let echo = String::from_utf8_lossy(&req.body);
    let reply = ServiceReply { request: &id, service, backend: &state.setup.id, echo: &echo };
    let response = json(200, &reply);
    if state.faults.cross_answers == 0 {
        return response.with_header("x-request-id", id.as_str());
    }
    state.faults.cross_answers -= 1;
    response.with_header("x-request-id", "another")
}
