use std::net::SocketAddr;

use bpaf::Bpaf;

use crate::error::Error;

/// Send requests at random times and print latency percentiles
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Load {
    /// Entry VMs, used in turn
    #[bpaf(argument("IP:PORT"), some("name at least one entry VM"))]
    entry: Vec<SocketAddr>,
    /// Service to call
    #[bpaf(argument("NAME"), fallback("preorder".to_owned()))]
    service: String,
    /// Mean number of requests per second
    #[bpaf(argument("N"), fallback(100))]
    rate: u64,
    /// Duration in seconds
    #[bpaf(argument("N"), fallback(10))]
    seconds: u64,
    /// Send idempotency keys, so that requests run at most once
    keyed: bool,
    /// Latency target in milliseconds
    #[bpaf(argument("MS"), fallback(100))]
    target: u64,
    /// Seed of the random arrival times
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
}

impl Load {
    pub(crate) async fn run(&self) -> Result<(), Error> {
        let params = load::Params {
            entries: self.entry.clone(),
            service: self.service.as_str().into(),
            rate: self.rate,
            seconds: self.seconds,
            keyed: self.keyed,
            seed: self.seed,
            target_ms: self.target,
        };
        println!("seed {}", self.seed);
        let report = load::run(&params).await;
        println!("{report}");
        Ok(())
    }
}
