use std::{cell::RefCell, fmt, net::SocketAddr, rc::Rc, time::Duration};

use async_std::task::{sleep, spawn_local};
use base::{Millis, Name, now};
use hdrhistogram::Histogram;
use http::{Call, Client};
use http_types::Method;
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Longest time waited for an answer.
const LIMIT: Duration = Duration::from_secs(5);

/// What to send.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Entry VMs, used in turn.
    pub entries: Vec<SocketAddr>,
    /// Service to call.
    pub service: Name,
    /// Requests a second.
    pub rate: u64,
    /// Seconds to run.
    pub seconds: u64,
    /// Whether requests carry idempotency keys.
    pub keyed: bool,
    /// Seed of the arrival times.
    pub seed: u64,
    /// Latency target in milliseconds.
    pub target: Millis,
}

/// What came back.
#[derive(Debug, Clone)]
pub struct Report {
    /// Latency target in milliseconds.
    pub target: Millis,
    /// Latency of whole answers in microseconds.
    pub latency: Histogram<u64>,
    /// Requests that were said not to have run.
    pub refused: u64,
    /// Requests without a known outcome.
    pub unknown: u64,
    /// Answers that do not belong to their request.
    pub wrong: u64,
}

impl Report {
    fn open(target: Millis) -> Report {
        let latency = Histogram::new_with_max(60_000_000, 3).unwrap_or_else(|_| unreachable!());
        Report { target, latency, refused: 0, unknown: 0, wrong: 0 }
    }

    /// Share of all requests that were answered within the target.
    pub fn within(&self) -> f64 {
        let all = self.latency.len() + self.refused + self.unknown + self.wrong;
        let good = self.latency.count_between(0, self.target * 1000);
        good as f64 / all.max(1) as f64
    }

    /// A percentile in milliseconds.
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
            self.within(),
            self.refused,
            self.unknown,
            self.wrong
        )
    }
}

/// Sends requests at random times with a mean rate, whether or not earlier ones
/// have been answered, and waits for all of them.
pub async fn requests(plan: &Plan) -> Report {
    let report = Rc::new(RefCell::new(Report::open(plan.target)));
    let client = Client::open();
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let started = now().mono;
    let mut next = 0.0;
    let mut sent = Vec::new();
    for i in 0..plan.rate * plan.seconds {
        next += -rng.random_range(f64::MIN_POSITIVE..1.0).ln() * 1000.0 / plan.rate as f64;
        let at = started + next as Millis;
        let wait = at.saturating_sub(now().mono);
        if wait > 0 {
            sleep(Duration::from_millis(wait)).await;
        }
        let peer = plan.entries[i as usize % plan.entries.len()];
        let call = call(plan, peer, i);
        sent.push(spawn_local(one(client.clone(), call, i, Rc::clone(&report))));
    }
    futures::future::join_all(sent).await;
    report.borrow().clone()
}

fn call(plan: &Plan, peer: SocketAddr, i: u64) -> Call {
    let mut headers = vec![("x-caller", format!("caller-{}", i % 16))];
    match plan.keyed {
        true => headers.push(("idempotency-key", format!("{}-{i}", plan.seed))),
        false => headers.push(("x-idempotent", "1".to_owned())),
    }
    Call {
        peer,
        method: Method::Post,
        path: format!("/v1/serve/{}", plan.service),
        headers,
        body: format!("order {i}").into_bytes(),
        timeout: LIMIT,
    }
}

async fn one(client: Client, call: Call, i: u64, report: Rc<RefCell<Report>>) {
    let started = std::time::Instant::now();
    let answer = client.exchange(call).await;
    let took = started.elapsed().as_micros() as u64;
    let mut report = report.borrow_mut();
    match answer {
        Ok((200, body, _)) => {
            let echo = format!("\"echo\":\"order {i}\"");
            if String::from_utf8_lossy(&body).contains(&echo) {
                report.latency.saturating_record(took);
            } else {
                report.wrong += 1;
            }
        }
        Ok((503, _, _)) => report.refused += 1,
        Err(e) if e.unsent() => report.refused += 1,
        _ => report.unknown += 1,
    }
}
