//! A front end that runs on its own thread.

use super::client::{Call, Client};
use super::configuration::{write_configuration, ANY_PORT};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use tansy_gateway::platform::{read, PlatformFrontEnd};
use tansy_test_support::platform_configuration::PlatformConfiguration;

/// The sizes of a front end's tables at the time when it was stopped.
#[derive(Debug)]
pub struct TableSizes {
    /// Open calls, call ids, load requests and connections to workers.
    pub driver: [usize; 4],
    /// Number of function names.
    pub functions: usize,
    /// Number of worker names.
    pub workers: usize,
    /// Number of client connections.
    pub clients: usize,
}

impl TableSizes {
    fn of(platform: &PlatformFrontEnd) -> TableSizes {
        let driver = platform.driver();
        let (functions, workers) = driver.with_dispatcher(|dispatcher| dispatcher.name_counts());
        TableSizes {
            driver: driver.table_sizes(),
            functions,
            workers,
            clients: platform.clients().len(),
        }
    }
}

/// A running front end. It is stopped when the value is dropped.
pub struct FrontEnd {
    /// The front end's address.
    pub address: SocketAddr,
    /// The configuration file.
    pub path: PathBuf,
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
    thread: Option<JoinHandle<TableSizes>>,
}

impl FrontEnd {
    /// Starts a front end.
    pub fn start(configuration: &PlatformConfiguration) -> FrontEnd {
        let path = write_configuration(configuration, ANY_PORT);
        let (stop, reload): (Arc<AtomicBool>, Arc<AtomicBool>) = Default::default();
        let (sender, address) = channel();
        let thread = std::thread::spawn({
            let (stop, reload, path) = (stop.clone(), reload.clone(), path.clone());
            move || {
                let mut platform = PlatformFrontEnd::start(&read(&path).unwrap()).unwrap();
                sender.send(platform.address()).unwrap();
                while !stop.load(Ordering::SeqCst) {
                    platform.turn(Duration::from_millis(5)).unwrap();
                    if reload.swap(false, Ordering::SeqCst) {
                        platform.reload(&path);
                    }
                }
                TableSizes::of(&platform)
            }
        });
        FrontEnd {
            address: address.recv().unwrap(),
            path,
            stop,
            reload,
            thread: Some(thread),
        }
    }

    /// Makes the front end read its configuration again, as on SIGHUP.
    pub fn reload(&self) {
        self.reload.store(true, Ordering::SeqCst);
    }

    /// Stops the front end and returns the sizes of its tables.
    pub fn stop(mut self) -> TableSizes {
        self.stop.store(true, Ordering::SeqCst);
        self.thread.take().unwrap().join().unwrap()
    }

    /// Opens a client connection.
    pub fn connect(&self) -> Client {
        Client::to(self.address)
    }

    /// Sends a call on a new connection and returns the status and body of the answer.
    pub fn call(&self, call: &Call) -> (u16, String) {
        let mut client = self.connect();
        client.send(&call.text());
        client.answer().expect("an answer")
    }
}

impl Drop for FrontEnd {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        let _ = std::fs::remove_file(&self.path);
    }
}
