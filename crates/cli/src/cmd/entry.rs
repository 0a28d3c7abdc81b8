use std::path::PathBuf;

use bpaf::Bpaf;
use conf::Settings;
use futures::StreamExt;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook_async_std::Signals;
use snafu::ResultExt;

use crate::error::{EntrySnafu, Error, SignalsSnafu};

/// Run the process of an entry VM
///
/// The first line of output names the addresses in use. SIGTERM and SIGINT shut the process
/// down gracefully: cells are handed over, and running requests are finished.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Entry {
    /// Use the baseline scheduling policy, for comparison
    baseline: bool,
    /// Settings file
    #[bpaf(positional("SETTINGS"))]
    settings: PathBuf,
}

impl Entry {
    pub(crate) async fn run(&self) -> Result<(), Error> {
        let settings = Settings::open(&self.settings)?;
        let mode = if self.baseline { entry::Mode::BASELINE } else { entry::Mode::FULL };
        let mut signals = Signals::new([SIGTERM, SIGINT]).context(SignalsSnafu)?;
        let running = entry::spawn(settings, mode).await.context(EntrySnafu)?;
        println!("http={} rpc={}", running.http, running.rpc);
        signals.next().await;
        running.close().await;
        Ok(())
    }
}
