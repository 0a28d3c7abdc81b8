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
/// The addresses in use are printed on the first line. SIGTERM and SIGINT shut
/// it down gracefully: cells are handed over and no request is cut.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Entry {
    /// Run the plain baseline policy, for comparisons
    baseline: bool,
    /// Settings
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
