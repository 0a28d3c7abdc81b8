use std::{cell::RefCell, fmt, net::SocketAddr, rc::Rc, time::Duration};

use async_std::task::{sleep, spawn_local};
use base::{Millis, Name, now};
use hdrhistogram::Histogram;
use http::{Client, OutgoingRequest};
use http_types::Method;
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Parameters of a load run.
#[derive(Debug, Clone)]
pub struct Params {
    /// Addresses of the entry VMs, used round robin.
    pub entries: Vec<SocketAddr>,
    /// Name of the service to call.
    pub service: Name,
    /// Mean number of requests per second.
    pub rate: u64,
    /// Duration in seconds; `rate * seconds` requests are sent.
    pub seconds: u64,
    /// Whether requests carry idempotency keys; otherwise they are marked as
    /// idempotent.
    pub keyed: bool,
    /// Seed of the arrival times, and part of the idempotency keys.
    pub seed: u64,
    /// Latency target in milliseconds.
    pub target_ms: Millis,
}

/// Result of a load run.
#[derive(Debug, Clone)]
pub struct Report {
    /// Latency target in milliseconds.
    pub target_ms: Millis,
    /// Latency of correct replies in microseconds.
    pub latency: Histogram<u64>,
    /// Number of requests that are known not to have run.
    pub refused: u64,
    /// Number of requests without a known outcome.
    pub unknown: u64,
    /// Number of replies that do not match their request.
    pub wrong: u64,
}

impl Report {
    fn new(target_ms: Millis) -> Report {
        let latency = Histogram::new_with_max(60_000_000, 3).unwrap_or_else(|_| unreachable!());
        Report { target_ms, latency, refused: 0, unknown: 0, wrong: 0 }
    }

    /// Returns the fraction of all requests with a correct reply within the latency
    /// target.
    pub fn within_target(&self) -> f64 {
        let total = self.latency.len() + self.refused + self.unknown + self.wrong;
        let on_time = self.latency.count_between(0, self.target_ms * 1000);
        on_time as f64 / total.max(1) as f64
    }

    /// Returns a percentile of the latency in milliseconds; `percent` is from 0 to
    /// 100.
    pub fn percentile(&self, percent: f64) -> f64 {
        self.latency.value_at_quantile(percent / 100.0) as f64 / 1000.0
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "answers {} p50 {:.1} ms p99 {:.1} ms p99.9 {:.1} ms within {:.3} refused {} unknown {} wrong {}",
            self.latency.len(),
            self.percentile(50.0),
            self.percentile(99.0),
            self.percentile(99.9),
            self.within_target(),
            self.refused,
            self.unknown,
            self.wrong
        )
    }
}

/// Sends requests with exponentially distributed gaps, without waiting for earlier
/// replies (open loop), and returns the report when all of them have ended.
pub async fn run(params: &Params) -> Report {
    let report = Rc::new(RefCell::new(Report::new(params.target_ms)));
    let client = Client::new();
    let mut rng = StdRng::seed_from_u64(params.seed);
    let started = now().mono;
    let mut offset_ms = 0.0;
    let mut pending = Vec::new();
    for i in 0..params.rate * params.seconds {
        offset_ms += -rng.random_range(f64::MIN_POSITIVE..1.0).ln() * 1000.0 / params.rate as f64;
        let at = started + offset_ms as Millis;
        let wait = at.saturating_sub(now().mono);
        if wait > 0 {
            sleep(Duration::from_millis(wait)).await;
        }
        let peer = params.entries[i as usize % params.entries.len()];
        let request = build_request(params, peer, i);
        pending.push(spawn_local(send_one(client.clone(), request, i, Rc::clone(&report))));
    }
    futures::future::join_all(pending).await;
    report.borrow().clone()
}

fn build_request(params: &Params, peer: SocketAddr, i: u64) -> OutgoingRequest {
    let mut headers = vec![("x-caller", format!("caller-{}", i % 16))];
    match params.keyed {
        true => headers.push(("idempotency-key", format!("{}-{i}", params.seed))),
        false => headers.push(("x-idempotent", "1".to_owned())),
    }
    OutgoingRequest {
        addr: peer,
        method: Method::Post,
        path: format!("/v1/serve/{}", params.service),
        headers,
        body: format!("order {i}").into_bytes(),
        timeout: REQUEST_TIMEOUT,
    }
}

/// Sends one request and adds its outcome to the report.
async fn send_one(client: Client, request: OutgoingRequest, i: u64, report: Rc<RefCell<Report>>) {
    let started = std::time::Instant::now();
    let reply = client.send(request).await;
    let latency_us = started.elapsed().as_micros() as u64;
    let mut report = report.borrow_mut();
    match reply {
        Ok((200, body, _)) => {
            let echo = format!("\"echo\":\"order {i}\"");
            if String::from_utf8_lossy(&body).contains(&echo) {
                report.latency.saturating_record(latency_us);
            } else {
                report.wrong += 1;
            }
        }
        Ok((503, _, _)) => report.refused += 1,
        Err(e) if e.is_unsent() => report.refused += 1,
        _ => report.unknown += 1,
    }
}
