use std::{path::PathBuf, rc::Rc};

use bpaf::Bpaf;
use conf::Fleet;
use futures::StreamExt;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_async_std::Signals;
use snafu::ResultExt;

use crate::error::{Error, ListenSnafu, NodeSnafu, SignalsSnafu};

/// Run the process of an entry VM on a customer's platform
///
/// SIGTERM and SIGINT hand leadership over and let requests end; SIGHUP reads
/// the settings again.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Serve {
    /// Settings
    #[bpaf(env("ORIOLERUDDER_CONFIG"), argument("SETTINGS"))]
    settings: PathBuf,
}

impl Serve {
    pub(crate) async fn run(&self) -> Result<(), Error> {
        let settings = Fleet::open(&self.settings)?;
        let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).context(SignalsSnafu)?;
        let platform = platform::open(settings.store, settings.advice);
        let (callers, health) = (settings.callers, settings.health);
        let running = node::spawn(settings.clone(), platform).await.context(NodeSnafu)?;
        let shared = running.node();
        let (ready, shown) = (Rc::clone(&shared), Rc::clone(&shared));
        let _health = platform::bind_health(health, move || ready.ready(), move || shown.metrics())
            .await
            .context(ListenSnafu)?;
        let _callers =
            platform::bind_callers(callers, move |ask| node::answer(Rc::clone(&shared), ask))
                .await
                .context(ListenSnafu)?;
        while let Some(signal) = signals.next().await {
            if signal != SIGHUP {
                break;
            }
            self.reload(&settings);
        }
        running.close().await;
        Ok(())
    }

    /// Reads the settings again; what is in use stays, since addresses and
    /// sizes of a VM change with its process only.
    fn reload(&self, before: &Fleet) {
        match Fleet::open(&self.settings) {
            Ok(after) => log::info!("event=reload changed={}", after != *before),
            Err(e) => log::error!("event=reload_failed reason={:?}", e.to_string()),
        }
    }
}
