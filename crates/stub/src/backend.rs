use std::{cell::RefCell, collections::VecDeque, net::SocketAddr, rc::Rc, time::Duration};

use async_std::task::{JoinHandle, sleep, spawn_local};
use base::{Millis, Name, Size, now};
use http::{Answer, Ask, Server, json};
use http_types::Method;
use plat::{Acknowledge, Listing, LoadReport, Renew, Start, Stop, Throttle};
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::{Deserialize, Serialize};

use crate::{LedgerEntry, Pair, Runs, What};

/// Period at which tasks advance.
const STEP: Duration = Duration::from_millis(20);

/// What a backend server is like.
#[derive(Debug, Clone)]
pub struct BackendSetup {
    /// Its VM identifier.
    pub id: Name,
    /// What it has.
    pub size: Size,
    /// Requests that it runs at once.
    pub slots: usize,
    /// Time of a request on an idle server, in milliseconds.
    pub service: Millis,
    /// Lag of usage reports, in milliseconds.
    pub lag: Millis,
    /// Interference table.
    pub pairs: Vec<Pair>,
    /// Seed of the spread of service times.
    pub seed: u64,
}

/// Faults that can be switched on.
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
    window: Vec<f64>,
    rng: StdRng,
}

/// A running stand-in of a backend server.
#[derive(Debug)]
pub struct Backend {
    /// Its address.
    pub addr: SocketAddr,
    _server: Server,
    _stepping: JoinHandle<()>,
}

#[derive(Debug, Serialize)]
struct Served<'a> {
    request: &'a str,
    service: &'a str,
    backend: &'a str,
    echo: &'a str,
}

impl Backend {
    /// Listens on `addr` and serves requests and tasks.
    ///
    /// # Errors
    /// [`http::Error::Listen`].
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
            window: Vec::new(),
        }));
        let shared = Rc::clone(&state);
        let server = http::bind(addr, move |ask| answer(Rc::clone(&shared), ask)).await?;
        let stepping = spawn_local(async move {
            loop {
                sleep(STEP).await;
                state.borrow_mut().step();
            }
        });
        Ok(Backend { addr: server.addr, _server: server, _stepping: stepping })
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
        let window = std::mem::take(&mut self.window);
        let service =
            (!window.is_empty()).then(|| window.iter().sum::<f64>() / window.len() as f64);
        let report = LoadReport { asof: now.unix, tasks: self.runs.usage(), service };
        self.usage.push_back(report);
        let lag = self.setup.lag;
        while self.usage.len() > 1 && self.usage[1].asof + lag <= now.unix {
            self.usage.pop_front();
        }
    }

    fn listing(&self) -> Listing {
        let lagging = self.usage.front().filter(|r| r.asof + self.setup.lag <= now().unix);
        Listing {
            incarnation: self.incarnation,
            leaving: self.faults.leaving,
            tasks: self.runs.reports(),
            usage: lagging.cloned().unwrap_or_default(),
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

async fn answer(state: Shared, ask: Ask) -> Option<Answer> {
    if ask.path == "/v1/faults" {
        return Some(faults(&state, &ask));
    }
    if ask.path == "/v1/ledger" {
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
    let answer = match ask.path.strip_prefix("/v1/serve/") {
        Some(service) => serve(&state, service, &ask).await,
        None => control(&state, &ask).unwrap_or_else(|refusal| refusal),
    };
    let mut state = state.borrow_mut();
    if ask.method == Method::Post && state.faults.lose_answers > 0 {
        state.faults.lose_answers -= 1;
        return None;
    }
    Some(answer)
}

fn faults(state: &Shared, ask: &Ask) -> Answer {
    match ask.decode::<Faults>() {
        Ok(faults) => {
            state.borrow_mut().set_faults(faults.clone());
            json(200, &faults)
        }
        Err(refusal) => refusal,
    }
}

fn control(state: &Shared, ask: &Ask) -> Result<Answer, Answer> {
    let now = now();
    let mut state = state.borrow_mut();
    let answer = match (ask.method, ask.path.as_str()) {
        (Method::Get, "/v1/tasks") => json(200, &state.listing()),
        (Method::Post, "/v1/tasks/start") => {
            let starts: Vec<Start> = ask.decode()?;
            let answers: Vec<_> = starts.iter().map(|start| state.runs.start(start, now)).collect();
            json(200, &answers)
        }
        (Method::Post, "/v1/tasks/renew") => {
            json(200, &state.runs.renew(&ask.decode::<Renew>()?, now))
        }
        (Method::Post, "/v1/tasks/stop") => {
            json(200, &state.runs.stop(&ask.decode::<Stop>()?, now))
        }
        (Method::Post, "/v1/tasks/throttle") => {
            json(200, &state.runs.throttle(&ask.decode::<Throttle>()?, now))
        }
        (Method::Post, "/v1/tasks/acknowledge") => {
            state.runs.acknowledge(&ask.decode::<Acknowledge>()?);
            json(200, &true)
        }
        _ => Answer::fault(404, "no such path"),
    };
    Ok(answer)
}

/// Executes a service request: a slot is held for a time that grows with what
/// runs beside it.
async fn serve(state: &Shared, service: &str, ask: &Ask) -> Answer {
    let id = ask.header("x-request-id").unwrap_or("").to_owned();
    let key = ask.header("x-key").map(str::to_owned);
    let time = {
        let mut state = state.borrow_mut();
        if state.inflight >= state.setup.slots {
            state.record(What::Overslot, &id, key.as_deref());
            return Answer::fault(503, "no free slot").with("x-not-run", "1");
        }
        state.inflight += 1;
        let spread = state.rng.random_range(0.7..1.3);
        state.setup.service as f64 * spread * state.runs.slowdown("service")
    };
    sleep(Duration::from_micros((time * 1000.0) as u64)).await;
    let mut state = state.borrow_mut();
    state.inflight -= 1;
    state.window.push(time);
    state.record(What::Request, &id, key.as_deref());
    let echo = String::from_utf8_lossy(&ask.body);
    let served = Served { request: &id, service, backend: &state.setup.id, echo: &echo };
    let answer = json(200, &served);
    if state.faults.cross_answers == 0 {
        return answer.with("x-request-id", id.as_str());
    }
    state.faults.cross_answers -= 1;
    answer.with("x-request-id", "another")
}
