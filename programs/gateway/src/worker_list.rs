//! The worker list file, which is read again when it changes.

use crate::GatewayError;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tansy_dispatch::Input;
use tansy_net_inference::Driver;
use tansy_settings::ConfiguredWorker;

/// Interval at which the file is checked for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Applies a complete list of workers.
pub(crate) type ApplyWorkers = Rc<dyn Fn(Vec<ConfiguredWorker>)>;

/// The worker list file.
pub(crate) struct WorkerListFile {
    path: PathBuf,
    zones: Vec<String>,
    /// Index of the zone of workers that do not name one.
    home_zone: usize,
    /// Modification time and length of the file when it was last read.
    last_read: Option<(SystemTime, u64)>,
}

impl WorkerListFile {
    pub(crate) fn new(path: PathBuf, zones: Vec<String>, home_zone: usize) -> WorkerListFile {
        WorkerListFile {
            path,
            zones,
            home_zone,
            last_read: None,
        }
    }

    /// Reads the file if it has changed; returns `None` otherwise.
    fn read_if_changed(&mut self) -> Result<Option<Vec<ConfiguredWorker>>, GatewayError> {
        let file_error = |source| GatewayError::File {
            path: self.path.clone(),
            source,
        };
        let metadata = std::fs::metadata(&self.path).map_err(file_error)?;
        let current = Some((metadata.modified()?, metadata.len()));
        if current == self.last_read {
            return Ok(None);
        }
        let text = std::fs::read_to_string(&self.path).map_err(file_error)?;
        let name = self.path.display().to_string();
        let workers = tansy_settings::parse_workers(&name, &text, &self.zones, self.home_zone)?;
        self.last_read = current;
        Ok(Some(workers))
    }

    /// Applies the `configured` workers and those of the file, now and after each change of the file.
    ///
    /// The first read must succeed, so that a wrong path is reported instead of starting a gateway without workers.
    pub(crate) fn watch(
        mut self,
        driver: Rc<Driver>,
        configured: Vec<ConfiguredWorker>,
        apply: ApplyWorkers,
    ) -> Result<(), GatewayError> {
        let with_configured = move |listed: Vec<ConfiguredWorker>| {
            let configured = configured.iter().cloned();
            configured.chain(listed).collect::<Vec<ConfiguredWorker>>()
        };
        apply(with_configured(self.read_if_changed()?.unwrap_or_default()));
        let spawner = driver.spawner.clone();
        spawner.spawn(async move {
            loop {
                driver.spawner.sleep(POLL_INTERVAL).await;
                match self.read_if_changed() {
                    Ok(Some(listed)) => apply(with_configured(listed)),
                    Ok(None) => {}
                    Err(error) => {
                        tracing::warn!(%error, "worker list can't be read: the previous one stays");
                        driver.feed(Input::WorkerListFailed);
                    }
                }
            }
        });
        Ok(())
    }
}
