use std::{net::SocketAddr, time::Duration};

use async_std::task::sleep;
use base::{Name, Size};
use bpaf::Bpaf;
use conf::{Document, Platform, Settings, Timing};
use futures::{FutureExt, StreamExt};
use http::Client;
use plat::{Kind, Vm, VmState};
use serde_json::{Value, json};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook_async_std::Signals;
use snafu::ResultExt;
use stub::{BackendSetup, Pair};

use crate::{
    cmd::{any_port, publish::put},
    error::{CallSnafu, EntrySnafu, Error, HttpSnafu, SignalsSnafu},
};

/// Failure domains and their regions.
const DOMAINS: [(&str, &str); 3] =
    [("leinster-1", "leinster"), ("leinster-2", "leinster"), ("munster-1", "munster")];
/// Entry VMs and backend servers in each failure domain.
const PER_DOMAIN: usize = 2;
/// The document that a newcomer starts with.
const DOCUMENT: &str = include_str!("../../../../examples/kaur-devlin.json");

/// Run a whole small fleet in one process, with stand-ins for the platform
///
/// Three failure domains in two regions, two entry VMs and two backend servers
/// in each, and the console. This is the place to start.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Dev {
    /// Stop by itself after so many seconds
    #[bpaf(argument("N"), optional)]
    seconds: Option<u64>,
    /// Address of the console
    #[bpaf(argument("IP:PORT"), fallback_with(|| Ok::<_, String>(any_port())))]
    http: SocketAddr,
}

/// Everything that runs; it stops when dropped.
struct Fleet {
    entries: Vec<entry::Entry>,
    _backends: Vec<stub::Backend>,
    _log: stub::Log,
    _vms: stub::Vms,
}

impl Dev {
    pub(crate) async fn run(&self) -> Result<(), Error> {
        let mut signals = Signals::new([SIGTERM, SIGINT]).context(SignalsSnafu)?;
        let fleet = open().await?;
        let first = fleet.entries[0].http;
        let entries = fleet.entries.iter().map(|e| e.http).collect();
        let part = "console";
        let console = console::bind(self.http, entries).await.context(HttpSnafu { part })?;
        tour(first).await?;
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

async fn open() -> Result<Fleet, Error> {
    let log = stub::Log::bind(any_port()).await.context(HttpSnafu { part: "log" })?;
    let vms = stub::Vms::bind(any_port()).await.context(HttpSnafu { part: "VM list" })?;
    let mut fleet = Fleet { entries: Vec::new(), _backends: Vec::new(), _log: log, _vms: vms };
    for (domain, region) in DOMAINS {
        for i in 1..=PER_DOMAIN {
            open_entry(&mut fleet, domain, region, i).await?;
            open_backend(&mut fleet, domain, region, i).await?;
        }
    }
    Ok(fleet)
}

async fn open_entry(fleet: &mut Fleet, domain: &str, region: &str, i: usize) -> Result<(), Error> {
    let id = Name::from(format!("{domain}-e{i}"));
    let platform =
        Platform { log: fleet._log.addr, vms: fleet._vms.addr, timeout: Duration::from_secs(1) };
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

async fn open_backend(
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
        service: 20,
        lag: 2000,
        pairs: vec![Pair { slowed: "service".into(), by: "bake-plan".into(), percent: 60 }],
        seed: i as u64,
    };
    let part = "backend server";
    let backend = stub::Backend::bind(any_port(), setup).await.context(HttpSnafu { part })?;
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
    let peer = fleet._vms.addr;
    let limit = Duration::from_secs(5);
    let _: Value =
        Client::open().post(peer, "/v1/vms", vm, limit).await.context(CallSnafu { peer })?;
    Ok(())
}

/// Shows a configuration, a request and a job on the way.
async fn tour(peer: SocketAddr) -> Result<(), Error> {
    let client = Client::open();
    let limit = Duration::from_secs(5);
    println!("entry VM http://{peer}");
    let document = Document::parse(DOCUMENT, None)?;
    let version = first_publish(peer, &document).await?;
    println!("published the example document: version {version}");
    let order = json!({ "box": "barfi", "count": 12 });
    let served = again(|| client.post(peer, "/v1/serve/preorder", &order, limit)).await;
    let served: Value = served.context(CallSnafu { peer })?;
    println!("served a request: {served}");
    let job = json!({ "id": "first", "team": "kitchen", "kind": "bake-plan", "tasks": 4 });
    let taken = again(|| client.post(peer, "/v1/jobs", &job, limit)).await;
    let taken: Value = taken.context(CallSnafu { peer })?;
    println!("submitted a job: {taken}");
    loop {
        sleep(Duration::from_millis(500)).await;
        let job: Value = client.get(peer, "/v1/jobs/first", limit).await.unwrap_or_default();
        println!("job: {}", job["phases"]);
        if job["phases"]["finished"] == 4 {
            return Ok(());
        }
    }
}

/// The fleet takes a moment until it reads the log and owns its cells.
async fn first_publish(peer: SocketAddr, document: &Document) -> Result<Value, Error> {
    loop {
        match put(peer, 0, document).await {
            Ok(answer) => return Ok(answer["version"].clone()),
            Err(Error::Refused { .. }) => sleep(Duration::from_millis(200)).await,
            Err(e) => return Err(e),
        }
    }
}

async fn again<F: Future<Output = http::Result<Value>>>(
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
