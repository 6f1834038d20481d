//! The file with the list of workers, which is read again when it changes.

use crate::GatewayError;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tansy_dispatch::Input;
use tansy_net_inference::Driver;
use tansy_settings::ConfiguredWorker;

/// Time between two looks at the file.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Takes a whole list of workers.
pub(crate) type ApplyWorkers = Rc<dyn Fn(Vec<ConfiguredWorker>)>;

/// The file, and when it was changed last.
pub(crate) struct WorkerListFile {
    path: PathBuf,
    zones: Vec<String>,
    /// The index of the zone of workers that name none.
    home_zone: usize,
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

    /// Reads the file if it has changed; `None`: it has not.
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

    /// Applies the fixed workers and those of the file, now and after each change of the file. The first reading must succeed:
    /// a gateway that starts without workers by a slip serves nobody.
    pub(crate) fn watch(
        mut self,
        driver: Rc<Driver>,
        fixed: Vec<ConfiguredWorker>,
        apply: ApplyWorkers,
    ) -> Result<(), GatewayError> {
        let with_fixed = move |listed: Vec<ConfiguredWorker>| {
            let fixed = fixed.iter().cloned();
            fixed.chain(listed).collect::<Vec<ConfiguredWorker>>()
        };
        apply(with_fixed(self.read_if_changed()?.unwrap_or_default()));
        let spawner = driver.spawner.clone();
        spawner.spawn(async move {
            loop {
                driver.spawner.sleep(POLL_INTERVAL).await;
                match self.read_if_changed() {
                    Ok(Some(listed)) => apply(with_fixed(listed)),
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
