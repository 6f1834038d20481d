//! A front end on a thread of its own.

use super::client::{Call, Client};
use super::configuration::{write_configuration, ANY_PORT};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use tansy_gateway::platform::{read, Platform};
use tansy_test_support::platform_configuration::PlatformConfiguration;

/// The sizes of a front end's tables when it was stopped.
#[derive(Debug)]
pub struct TableSizes {
    /// Calls, ids, load requests, connections to workers.
    pub driver: [usize; 4],
    /// Functions whose names it holds.
    pub functions: usize,
    /// Workers whose names it holds.
    pub workers: usize,
    /// Connections of clients.
    pub clients: usize,
}

impl TableSizes {
    fn of(platform: &Platform) -> TableSizes {
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

/// A front end that runs; its thread ends with the value.
pub struct FrontEnd {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its configuration's file.
    pub path: PathBuf,
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
    thread: Option<JoinHandle<TableSizes>>,
}

impl FrontEnd {
    /// Starts one.
    pub fn start(configuration: &PlatformConfiguration) -> FrontEnd {
        let path = write_configuration(configuration, ANY_PORT);
        let (stop, reload): (Arc<AtomicBool>, Arc<AtomicBool>) = Default::default();
        let (sender, address) = channel();
        let thread = std::thread::spawn({
            let (stop, reload, path) = (stop.clone(), reload.clone(), path.clone());
            move || {
                let mut platform = Platform::start(&read(&path).unwrap()).unwrap();
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

    /// Has it read its configuration again, as SIGHUP does.
    pub fn reload(&self) {
        self.reload.store(true, Ordering::SeqCst);
    }

    /// Stops it.
    pub fn stop(mut self) -> TableSizes {
        self.stop.store(true, Ordering::SeqCst);
        self.thread.take().unwrap().join().unwrap()
    }

    /// A client's connection to it.
    pub fn connect(&self) -> Client {
        Client::to(self.address)
    }

    /// One call on a connection of its own: its status and body.
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
