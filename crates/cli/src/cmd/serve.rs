use std::{path::PathBuf, rc::Rc};

use bpaf::Bpaf;
use conf::PlatformSettings;
use futures::StreamExt;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_async_std::Signals;
use snafu::ResultExt;

use crate::error::{Error, ListenSnafu, NodeSnafu, SignalsSnafu};

/// Run the process of an entry VM on a customer's platform
///
/// SIGTERM and SIGINT hand over leadership and let running requests finish. SIGHUP reads the
/// settings file again and logs whether it changed.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Serve {
    /// Settings file
    #[bpaf(env("ORIOLERUDDER_CONFIG"), argument("SETTINGS"))]
    settings: PathBuf,
}

impl Serve {
    pub(crate) async fn run(&self) -> Result<(), Error> {
        let settings = PlatformSettings::open(&self.settings)?;
        let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).context(SignalsSnafu)?;
        let platform = platform::open(settings.store, settings.advice);
        let (caller_addr, health_addr) = (settings.callers, settings.health);
        let running = node::spawn(settings.clone(), platform).await.context(NodeSnafu)?;
        let shared = running.node();
        let (ready_node, metrics_node) = (Rc::clone(&shared), Rc::clone(&shared));
        let _health = platform::bind_health(
            health_addr,
            move || ready_node.ready(),
            move || metrics_node.metrics(),
        )
        .await
        .context(ListenSnafu)?;
        let callers = platform::bind_callers(caller_addr, move |request| {
            node::answer(Rc::clone(&shared), request)
        })
        .await
        .context(ListenSnafu)?;
        while let Some(signal) = signals.next().await {
            if signal != SIGHUP {
                break;
            }
            self.reload(&settings);
        }
        running.close(&callers).await;
        Ok(())
    }

    /// Reads the settings file again and logs whether it changed. The settings in use stay,
    /// since addresses and sizes of a VM can only change with a restart of its process.
    fn reload(&self, before: &PlatformSettings) {
        match PlatformSettings::open(&self.settings) {
            Ok(after) => log::info!("event=reload changed={}", after != *before),
            Err(e) => log::error!("event=reload_failed reason={:?}", e.to_string()),
        }
    }
}
