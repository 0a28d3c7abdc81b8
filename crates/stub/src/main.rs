//! Runs one of the stand-ins for the platform as a process.

use std::net::SocketAddr;

use async_std::{future::pending, task};
use base::{Millis, Name, Size};
use bpaf::Bpaf;
use stub::{Backend, BackendSetup, Interference, Log, Vms};

/// Stand-ins for the platform. The address in use is printed on the first line.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Command {
    /// The log service
    #[bpaf(command)]
    Log {
        /// Address to listen on
        #[bpaf(argument("IP:PORT"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
        http: SocketAddr,
    },
    /// The VM list
    #[bpaf(command)]
    Vms {
        /// Address to listen on
        #[bpaf(argument("IP:PORT"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
        http: SocketAddr,
    },
    /// A backend server
    #[bpaf(command)]
    Backend {
        /// Address to listen on
        #[bpaf(argument("IP:PORT"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
        http: SocketAddr,
        /// VM identifier
        #[bpaf(argument("ID"))]
        id: String,
        /// Processors in thousandths of a core
        #[bpaf(argument("MILLICORES"), fallback(16_000))]
        cpu: u64,
        /// Memory in megabytes
        #[bpaf(argument("MB"), fallback(60_000))]
        memory: u64,
        /// Accelerators
        #[bpaf(argument("N"), fallback(0))]
        accel: u64,
        /// Requests served at once
        #[bpaf(argument("N"), fallback(8))]
        slots: usize,
        /// Time of a request on an idle server, in milliseconds
        #[bpaf(argument("MS"), fallback(20))]
        service: Millis,
        /// Lag of usage reports, in milliseconds
        #[bpaf(argument("MS"), fallback(2000))]
        lag: Millis,
        /// Kinds that slow each other: SLOWED:BY:PERCENT, may be repeated
        #[bpaf(argument("PAIR"), many)]
        pair: Vec<String>,
        /// Seed of the spread of service times
        #[bpaf(argument("N"), fallback(1))]
        seed: u64,
    },
}

fn main() {
    env_logger::init();
    let command = command().run();
    if let Err(e) = task::block_on(run(command)) {
        eprintln!("error: {e}");
        std::process::exit(1);
    }
}

async fn run(command: Command) -> http::Result<()> {
    match command {
        Command::Log { http } => {
            let log = Log::bind(http).await?;
            println!("{}", log.addr);
            pending::<()>().await;
        }
        Command::Vms { http } => {
            let vms = Vms::bind(http).await?;
            println!("{}", vms.addr);
            pending::<()>().await;
        }
        Command::Backend { http, id, cpu, memory, accel, slots, service, lag, pair, seed } => {
            let setup = BackendSetup {
                id: Name::from(id),
                size: Size { cpu, memory, accel },
                slots,
                service_time: service,
                report_lag: lag,
                pairs: pair.iter().filter_map(|text| parse_pair(text)).collect(),
                seed,
            };
            let backend = Backend::bind(http, setup).await?;
            println!("{}", backend.addr);
            pending::<()>().await;
        }
    }
    Ok(())
}

fn parse_pair(text: &str) -> Option<Interference> {
    let mut parts = text.split(':');
    let slowed = Name::from(parts.next()?);
    let by = Name::from(parts.next()?);
    let percent = parts.next()?.parse().ok()?;
    Some(Interference { slowed, by, percent })
}
