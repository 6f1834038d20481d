//! Looks up functions whose settings the fleet agrees on one by one, when a call names them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use tansy_agreement::compatibility::Fields;
use tansy_agreement::subscription::{Admission, MAX_SUBSCRIPTIONS};
use tansy_dispatch::FunctionShape;
use tansy_net_fleet::FleetTransport;
use tansy_net_inference::{DirectoryEntry, FunctionDirectory};
use tansy_settings::agreement;

/// Looks up functions at the node.
pub(super) struct ScopeLookup {
    transport: Weak<FleetTransport>,
    /// The result for each function with the fields that it was read from; a result is valid while the fields stay the same.
    cache: RefCell<HashMap<String, (Fields, DirectoryEntry)>>,
}

impl FunctionDirectory for ScopeLookup {
    fn lookup(&self, function: &str) -> DirectoryEntry {
        let Some(transport) = self.transport.upgrade() else {
            return DirectoryEntry::Refused;
        };
        match transport.admit(function) {
            Admission::Admit(fields) => self.read(function, fields),
            // `Unscoped`: the settings versions list all functions, and this function is not one of them.
            Admission::Unscoped | Admission::Unknown => DirectoryEntry::Unknown,
            Admission::Reject(_) => DirectoryEntry::Refused,
            Admission::Wait => DirectoryEntry::Pending,
        }
    }
}

impl ScopeLookup {
    pub(super) fn new(transport: &Rc<FleetTransport>) -> ScopeLookup {
        ScopeLookup {
            transport: Rc::downgrade(transport),
            cache: RefCell::new(HashMap::new()),
        }
    }

    fn read(&self, function: &str, fields: Fields) -> DirectoryEntry {
        let mut cache = self.cache.borrow_mut();
        let cached = cache.get(function);
        if let Some((_, result)) = cached.filter(|(known, _)| *known == fields) {
            return result.clone();
        }
        let result = read_function(function, &fields);
        if cache.len() >= MAX_SUBSCRIPTIONS {
            cache.clear();
        }
        cache.insert(function.to_string(), (fields, result.clone()));
        result
    }
}

fn read_function(name: &str, fields: &Fields) -> DirectoryEntry {
    match agreement::read_function(name, fields) {
        Ok(function) => DirectoryEntry::Known {
            class: function.class.into(),
            shape: FunctionShape {
                lanes: function.lanes,
                memory_mb: function.memory_mb,
                load_time: function.load_time,
            },
        },
        Err(error) => {
            tracing::error!(function = %name, %error, "function's settings can't be applied here: its calls are rejected");
            DirectoryEntry::Refused
        }
    }
}
