//! What of a `.proto` file counts on the wire: package, paths of methods, and of each message its fields by number, with
//! label and type. Lines of text, so that a difference can be read.
//!
//! Where names count, a message stands by its full name. Where they don't it stands by its place on the way from the
//! service's methods through the fields in the order of their numbers: other names, or another order of the file, give the
//! same lines.

use protox::prost_reflect::prost_types::field_descriptor_proto::{Label, Type};
use protox::prost_reflect::prost_types::{
    DescriptorProto, EnumDescriptorProto, EnumValueDescriptorProto, FieldDescriptorProto,
    FileDescriptorProto,
};
use std::collections::{BTreeMap, VecDeque};
use std::path::Path;

/// Whether messages, fields and the values of enumerations stand by their names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Names {
    /// They do.
    Count,
    /// They may change.
    Free,
}

/// The shape of one file in a folder.
pub fn shape(folder: &Path, file: &str, names: Names) -> String {
    let set = protox::compile([folder.join(file)], [folder]).unwrap_or_else(|e| panic!("{e}"));
    let described = set.file.into_iter().find(|f| f.name() == file);
    let described = described.expect("the file that was compiled");
    let mut shape = Shape {
        names,
        messages: BTreeMap::new(),
        enums: BTreeMap::new(),
        places: BTreeMap::new(),
        waiting: VecDeque::new(),
        lines: vec![format!("package {}", described.package())],
    };
    shape.file(&described);
    shape.lines.join("\n") + "\n"
}

struct Shape {
    names: Names,
    messages: BTreeMap<String, DescriptorProto>,
    enums: BTreeMap<String, EnumDescriptorProto>,
    /// By what a type is called in the lines, by its full name.
    places: BTreeMap<String, String>,
    waiting: VecDeque<String>,
    lines: Vec<String>,
}

impl Shape {
    fn file(&mut self, file: &FileDescriptorProto) {
        let package = format!(".{}", file.package());
        for message in &file.message_type {
            self.collect(&package, message);
        }
        for one in &file.enum_type {
            self.enums
                .insert(format!("{package}.{}", one.name()), one.clone());
        }
        for service in &file.service {
            let mut methods: Vec<_> = service.method.iter().collect();
            methods.sort_by_key(|m| m.name());
            for method in methods {
                let streams = |yes: bool| if yes { "stream " } else { "" };
                let (to, from) = (
                    self.place(method.input_type()),
                    self.place(method.output_type()),
                );
                let line = format!(
                    "rpc /{}.{}/{} {}{to} -> {}{from}",
                    file.package(),
                    service.name(),
                    method.name(),
                    streams(method.client_streaming()),
                    streams(method.server_streaming()),
                );
                self.lines.push(line);
            }
        }
        self.reached();
        // Those that no method leads to; without names they can't be told apart, so that there may be none.
        let rest = self.messages.keys().chain(self.enums.keys());
        let rest: Vec<String> = rest
            .filter(|n| !self.places.contains_key(*n))
            .cloned()
            .collect();
        assert!(
            rest.is_empty() || self.names == Names::Count,
            "no method leads to {rest:?}"
        );
        for name in rest {
            self.place(&name);
        }
        self.reached();
    }

    fn collect(&mut self, within: &str, message: &DescriptorProto) {
        let name = format!("{within}.{}", message.name());
        for nested in &message.nested_type {
            self.collect(&name, nested);
        }
        for one in &message.enum_type {
            self.enums
                .insert(format!("{name}.{}", one.name()), one.clone());
        }
        self.messages.insert(name, message.clone());
    }

    /// What a type is called in the lines; one that is new is described later on.
    fn place(&mut self, name: &str) -> String {
        if let Some(known) = self.places.get(name) {
            return known.clone();
        }
        let place = match self.names {
            Names::Count => name.to_string(),
            Names::Free => format!("#{}", self.places.len()),
        };
        self.places.insert(name.to_string(), place.clone());
        self.waiting.push_back(name.to_string());
        place
    }

    fn reached(&mut self) {
        while let Some(name) = self.waiting.pop_front() {
            let place = self.places[&name].clone();
            if let Some(one) = self.enums.get(&name).cloned() {
                self.lines.push(format!("enum {place}"));
                let value = |v: &EnumValueDescriptorProto| match self.names {
                    Names::Count => format!("  {} {}", v.number(), v.name()),
                    Names::Free => format!("  {}", v.number()),
                };
                let values: Vec<String> = one.value.iter().map(value).collect();
                self.lines.extend(values);
                continue;
            }
            let message = self.messages.get(&name).cloned();
            let message = message.unwrap_or_else(|| panic!("{name} is of another file"));
            let map = message.options.as_ref().is_some_and(|o| o.map_entry());
            let sort = if map { "entry" } else { "message" };
            self.lines.push(format!("{sort} {place}"));
            let mut fields = message.field.clone();
            fields.sort_by_key(|f| f.number());
            for field in &fields {
                let line = self.field(field, &fields);
                self.lines.push(line);
            }
        }
    }

    /// `  number label type`, the first number of its `oneof` if it stands in one, its name where names count.
    fn field(&mut self, field: &FieldDescriptorProto, all: &[FieldDescriptorProto]) -> String {
        let label = match field.label() {
            Label::Repeated => "repeated",
            Label::Optional if field.proto3_optional() => "optional",
            Label::Optional => "single",
            Label::Required => "required",
        };
        let sort = field.r#type().as_str_name();
        let sort = sort.trim_start_matches("TYPE_").to_lowercase();
        let of = match field.r#type() {
            Type::Message | Type::Enum => format!(" {}", self.place(field.type_name())),
            _ => String::new(),
        };
        let oneof = field.oneof_index.and_then(|index| {
            let mut same = all.iter().filter(|f| f.oneof_index == Some(index));
            same.next().map(|f| format!(" oneof {}", f.number()))
        });
        let name = match self.names {
            Names::Count => format!(" {}", field.name()),
            Names::Free => String::new(),
        };
        let oneof = oneof.unwrap_or_default();
        format!("  {} {label} {sort}{of}{oneof}{name}", field.number())
    }
}
