use std::{net::SocketAddr, time::Duration};

use async_std::task::sleep;
use base::{Name, Size};
use bpaf::Bpaf;
use conf::{Document, PlatformAddrs, Settings, Timing};
use futures::{FutureExt, StreamExt};
use http::Client;
use plat::{Kind, Vm, VmState};
use serde_json::{Value, json};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook_async_std::Signals;
use snafu::ResultExt;
use stub::{BackendSetup, Interference};

use crate::{
    cmd::{any_port, publish::publish_document},
    error::{CallSnafu, EntrySnafu, Error, HttpSnafu, SignalsSnafu},
};

/// Names of the failure domains and of their regions.
const DOMAINS: [(&str, &str); 3] =
    [("leinster-1", "leinster"), ("leinster-2", "leinster"), ("munster-1", "munster")];
/// Number of entry VMs, and of backend servers, in each failure domain.
const PER_DOMAIN: usize = 2;
/// The example document, published at the start.
const DOCUMENT: &str = include_str!("../../../../examples/kaur-devlin.json");

/// Run a small fleet in one process, with stubs in place of the platform
///
/// It consists of three failure domains in two regions, each with two entry VMs and two
/// backend servers, and of the console. This is the place to start.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Dev {
    /// Stop after this number of seconds
    #[bpaf(argument("N"), optional)]
    seconds: Option<u64>,
    /// Address that the console listens on
    #[bpaf(argument("IP:PORT"), fallback_with(|| Ok::<_, String>(any_port())))]
    http: SocketAddr,
}

/// All servers of the fleet; they stop when dropped.
struct Fleet {
    entries: Vec<entry::Entry>,
    _backends: Vec<stub::Backend>,
    log: stub::Log,
    vms: stub::Vms,
}

impl Dev {
    pub(crate) async fn run(&self) -> Result<(), Error> {
        let mut signals = Signals::new([SIGTERM, SIGINT]).context(SignalsSnafu)?;
        let fleet = start_fleet().await?;
        let first = fleet.entries[0].http;
        let entries = fleet.entries.iter().map(|e| e.http).collect();
        let component = "console";
        let console = console::bind(self.http, entries).await.context(HttpSnafu { component })?;
        run_examples(first).await?;
        println!("\nconsole  http://{}/", console.addr);
        println!("status   oriolerudder status --entry {first}");
        println!("stop     Ctrl-C");
        let limit = self.seconds.map_or(Duration::from_secs(1 << 40), Duration::from_secs);
        futures::select! {
            _ = signals.next().fuse() => {}
            () = sleep(limit).fuse() => {}
        }
        futures::future::join_all(fleet.entries.into_iter().map(entry::Entry::close)).await;
        Ok(())
    }
}

async fn start_fleet() -> Result<Fleet, Error> {
    let log = stub::Log::bind(any_port()).await.context(HttpSnafu { component: "log" })?;
    let vms = stub::Vms::bind(any_port()).await.context(HttpSnafu { component: "VM list" })?;
    let mut fleet = Fleet { entries: Vec::new(), _backends: Vec::new(), log, vms };
    for (domain, region) in DOMAINS {
        for i in 1..=PER_DOMAIN {
            start_entry(&mut fleet, domain, region, i).await?;
            start_backend(&mut fleet, domain, region, i).await?;
        }
    }
    Ok(fleet)
}

async fn start_entry(fleet: &mut Fleet, domain: &str, region: &str, i: usize) -> Result<(), Error> {
    let id = Name::from(format!("{domain}-e{i}"));
    let platform =
        PlatformAddrs { log: fleet.log.addr, vms: fleet.vms.addr, timeout: Duration::from_secs(1) };
    let settings = Settings {
        vm: id.clone(),
        domain: domain.into(),
        region: region.into(),
        http: any_port(),
        rpc: any_port(),
        platform,
        timing: Timing::default(),
    };
    let entry = entry::spawn(settings, entry::Mode::FULL).await.context(EntrySnafu)?;
    let vm = vm(id, Kind::Entry, domain, region, entry.http, Some(entry.rpc), Size::ZERO);
    register(fleet, &vm).await?;
    fleet.entries.push(entry);
    Ok(())
}

async fn start_backend(
    fleet: &mut Fleet,
    domain: &str,
    region: &str,
    i: usize,
) -> Result<(), Error> {
    let id = Name::from(format!("{domain}-b{i}"));
    let size = Size { cpu: 16_000, memory: 60_000, accel: 0 };
    let setup = BackendSetup {
        id: id.clone(),
        size,
        slots: 8,
        service_time: 20,
        report_lag: 2000,
        pairs: vec![Interference { slowed: "service".into(), by: "bake-plan".into(), percent: 60 }],
        seed: i as u64,
    };
    let component = "backend server";
    let backend = stub::Backend::bind(any_port(), setup).await.context(HttpSnafu { component })?;
    register(fleet, &vm(id, Kind::Backend, domain, region, backend.addr, None, size)).await?;
    fleet._backends.push(backend);
    Ok(())
}

fn vm(
    id: Name,
    kind: Kind,
    domain: &str,
    region: &str,
    http: SocketAddr,
    rpc: Option<SocketAddr>,
    size: Size,
) -> Vm {
    let (domain, region) = (domain.into(), region.into());
    let (rack, state) = ("r1".into(), VmState::Live);
    Vm { id, kind, domain, region, rack, http, rpc, size, state, until: None }
}

async fn register(fleet: &Fleet, vm: &Vm) -> Result<(), Error> {
    let peer = fleet.vms.addr;
    let limit = Duration::from_secs(5);
    let _: Value =
        Client::new().post(peer, "/v1/vms", vm, limit).await.context(CallSnafu { peer })?;
    Ok(())
}

/// Publishes the example document, sends a request and runs a job to its end, and prints each
/// step.
async fn run_examples(peer: SocketAddr) -> Result<(), Error> {
    let client = Client::new();
    let limit = Duration::from_secs(5);
    println!("entry VM http://{peer}");
    let document = Document::parse(DOCUMENT, None)?;
    let version = publish_when_ready(peer, &document).await?;
    println!("published the example document: version {version}");
    let order = json!({ "box": "barfi", "count": 12 });
    let served = retry(|| client.post(peer, "/v1/serve/preorder", &order, limit)).await;
    let served: Value = served.context(CallSnafu { peer })?;
    println!("served a request: {served}");
    let job = json!({ "id": "first", "team": "kitchen", "kind": "bake-plan", "tasks": 4 });
    let submitted = retry(|| client.post(peer, "/v1/jobs", &job, limit)).await;
    let submitted: Value = submitted.context(CallSnafu { peer })?;
    println!("submitted a job: {submitted}");
    loop {
        sleep(Duration::from_millis(500)).await;
        let job: Value = client.get(peer, "/v1/jobs/first", limit).await.unwrap_or_default();
        println!("job: {}", job["phases"]);
        if job["phases"]["finished"] == 4 {
            return Ok(());
        }
    }
}

/// Publishes the first document. Retries while the entry VM refuses it, since a new fleet
/// takes a moment to read the log and to own its cells.
async fn publish_when_ready(peer: SocketAddr, document: &Document) -> Result<Value, Error> {
    loop {
        match publish_document(peer, 0, document).await {
            Ok(response) => return Ok(response["version"].clone()),
            Err(Error::Refused { .. }) => sleep(Duration::from_millis(200)).await,
            Err(e) => return Err(e),
        }
    }
}

/// Calls until it succeeds or 50 retries, 200 ms apart, have failed.
async fn retry<F: Future<Output = http::Result<Value>>>(
    call: impl Fn() -> F,
) -> http::Result<Value> {
    for _ in 0..50 {
        if let Ok(done) = call().await {
            return Ok(done);
        }
        sleep(Duration::from_millis(200)).await;
    }
    call().await
}
