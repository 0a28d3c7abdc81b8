use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use async_std::task::sleep;
use base::{Millis, now};
use http::{Request, Response, Server, json};
use http_types::Method;
use plat::{Append, Appended, Batch, Entry};
use serde::{Deserialize, Serialize};

/// Faults that are injected until they are set anew. Zero means none.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Faults {
    outage: bool,
    slow_ms: Millis,
    lose_answers: u32,
    retention_ms: Millis,
}

#[derive(Debug, Default)]
struct Stream {
    start: u64,
    records: VecDeque<(Millis, Entry)>,
}

impl Stream {
    fn end(&self) -> u64 {
        self.start + self.records.len() as u64
    }

    fn expire(&mut self, before: Millis) {
        while self.records.front().is_some_and(|(at, _)| *at < before) {
            self.records.pop_front();
            self.start += 1;
        }
    }
}

#[derive(Debug, Default)]
struct State {
    streams: BTreeMap<String, Stream>,
    faults: Faults,
    appends: u64,
    records: u64,
}

/// A running stand-in for the log service.
#[derive(Debug)]
pub struct Log {
    /// Address that it listens on.
    pub addr: SocketAddr,
    _server: Server,
}

impl Log {
    /// Listens on `addr`, with no records in any stream.
    ///
    /// # Errors
    /// [`http::Error::Listen`] if the address cannot be bound.
    pub async fn bind(addr: SocketAddr) -> http::Result<Log> {
        let state = Rc::new(RefCell::new(State::default()));
        let server = http::bind(addr, move |req| handle(Rc::clone(&state), req)).await?;
        Ok(Log { addr: server.addr, _server: server })
    }
}

async fn handle(state: Rc<RefCell<State>>, req: Request) -> Option<Response> {
    if req.path == "/v1/faults" {
        return Some(match req.decode::<Faults>() {
            Ok(faults) => {
                state.borrow_mut().faults = faults.clone();
                json(200, &faults)
            }
            Err(refusal) => refusal,
        });
    }
    if req.path == "/v1/counts" {
        let state = state.borrow();
        return Some(json(200, &[state.appends, state.records]));
    }
    let faults = state.borrow().faults.clone();
    if faults.slow_ms > 0 {
        sleep(Duration::from_millis(faults.slow_ms)).await;
    }
    if faults.outage {
        return None;
    }
    let Some(name) = req.path.strip_prefix("/v1/streams/") else {
        return Some(Response::error(404, "no such path"));
    };
    match req.method {
        Method::Post => append(&state, name, &req),
        _ => Some(read(&state, name, &req)),
    }
}

fn append(state: &Rc<RefCell<State>>, name: &str, req: &Request) -> Option<Response> {
    let append: Append = match req.decode() {
        Ok(append) => append,
        Err(refusal) => return Some(refusal),
    };
    let mut state = state.borrow_mut();
    let at = now().unix;
    state.appends += 1;
    state.records += append.records.len() as u64;
    let stream = state.streams.entry(name.to_owned()).or_default();
    let first = stream.end();
    for (offset, data) in (first..).zip(append.records) {
        stream.records.push_back((at, Entry { offset, data }));
    }
    if state.faults.lose_answers > 0 {
        state.faults.lose_answers -= 1;
        return None;
    }
    Some(json(200, &Appended { offset: first }))
}

fn read(state: &Rc<RefCell<State>>, name: &str, req: &Request) -> Response {
    let number = |name| req.param(name).and_then(|v| v.parse::<u64>().ok());
    let from = number("from").unwrap_or(0);
    let max = number("max").unwrap_or(1000) as usize;
    let mut state = state.borrow_mut();
    let retention = state.faults.retention_ms;
    let stream = state.streams.entry(name.to_owned()).or_default();
    if retention > 0 {
        stream.expire(now().unix.saturating_sub(retention));
    }
    let skip = from.saturating_sub(stream.start) as usize;
    let records = stream.records.iter().skip(skip).take(max).map(|(_, e)| e.clone()).collect();
    json(200, &Batch { start: stream.start, end: stream.end(), records })
}
