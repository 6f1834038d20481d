//! The shape of a `.proto` file: everything that matters on the wire, as lines of text. It has the package, the paths of the methods,
//! and the number, label and type of every field.
//!
//! If names are significant, types are identified by their full names. Otherwise a type is identified by the order in which it is
//! reached from the service's methods, through fields in the order of their numbers; other names or another order of the file then
//! give the same lines.

use protox::prost_reflect::prost_types::field_descriptor_proto::{Label, Type};
use protox::prost_reflect::prost_types::{
    DescriptorProto, EnumDescriptorProto, EnumValueDescriptorProto, FieldDescriptorProto,
    FileDescriptorProto,
};
use std::collections::{BTreeMap, VecDeque};
use std::path::Path;

/// Whether the names of messages, fields and enum values are part of the shape.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Names {
    /// Names are part of the shape.
    Significant,
    /// Names may change.
    Ignored,
}

/// The shape of a file in a folder.
pub fn shape(folder: &Path, file: &str, names: Names) -> String {
    let set = protox::compile([folder.join(file)], [folder]).unwrap_or_else(|e| panic!("{e}"));
    let descriptor = set.file.into_iter().find(|f| f.name() == file);
    let descriptor = descriptor.expect("the compiled file");
    let mut shape = Shape {
        names,
        messages: BTreeMap::new(),
        enums: BTreeMap::new(),
        type_ids: BTreeMap::new(),
        pending: VecDeque::new(),
        lines: vec![format!("package {}", descriptor.package())],
    };
    shape.add_file(&descriptor);
    shape.lines.join("\n") + "\n"
}

struct Shape {
    names: Names,
    messages: BTreeMap<String, DescriptorProto>,
    enums: BTreeMap<String, EnumDescriptorProto>,
    /// The identifier of each type in the lines, by the type's full name.
    type_ids: BTreeMap<String, String>,
    /// Types that have an identifier and are not described yet.
    pending: VecDeque<String>,
    lines: Vec<String>,
}

impl Shape {
    fn add_file(&mut self, file: &FileDescriptorProto) {
        let package = format!(".{}", file.package());
        for message in &file.message_type {
            self.collect(&package, message);
        }
        for enumeration in &file.enum_type {
            self.enums.insert(
                format!("{package}.{}", enumeration.name()),
                enumeration.clone(),
            );
        }
        for service in &file.service {
            let mut methods: Vec<_> = service.method.iter().collect();
            methods.sort_by_key(|m| m.name());
            for method in methods {
                let stream = |is_stream: bool| if is_stream { "stream " } else { "" };
                let (input, output) = (
                    self.type_id(method.input_type()),
                    self.type_id(method.output_type()),
                );
                let line = format!(
                    "rpc /{}.{}/{} {}{input} -> {}{output}",
                    file.package(),
                    service.name(),
                    method.name(),
                    stream(method.client_streaming()),
                    stream(method.server_streaming()),
                );
                self.lines.push(line);
            }
        }
        self.describe_pending();
        // Types that no method reaches. They can only be identified by name.
        let rest = self.messages.keys().chain(self.enums.keys());
        let rest: Vec<String> = rest
            .filter(|n| !self.type_ids.contains_key(*n))
            .cloned()
            .collect();
        assert!(
            rest.is_empty() || self.names == Names::Significant,
            "no method reaches {rest:?}"
        );
        for name in rest {
            self.type_id(&name);
        }
        self.describe_pending();
    }

    /// Collects a message and the types nested in it.
    fn collect(&mut self, parent: &str, message: &DescriptorProto) {
        let name = format!("{parent}.{}", message.name());
        for nested in &message.nested_type {
            self.collect(&name, nested);
        }
        for enumeration in &message.enum_type {
            self.enums.insert(
                format!("{name}.{}", enumeration.name()),
                enumeration.clone(),
            );
        }
        self.messages.insert(name, message.clone());
    }

    /// The identifier of a type in the lines. A new type becomes pending.
    fn type_id(&mut self, name: &str) -> String {
        if let Some(known) = self.type_ids.get(name) {
            return known.clone();
        }
        let id = match self.names {
            Names::Significant => name.to_string(),
            Names::Ignored => format!("#{}", self.type_ids.len()),
        };
        self.type_ids.insert(name.to_string(), id.clone());
        self.pending.push_back(name.to_string());
        id
    }

    /// Adds the lines of all pending types, and of the types that they reach.
    fn describe_pending(&mut self) {
        while let Some(name) = self.pending.pop_front() {
            let id = self.type_ids[&name].clone();
            if let Some(enumeration) = self.enums.get(&name).cloned() {
                self.lines.push(format!("enum {id}"));
                let value = |v: &EnumValueDescriptorProto| match self.names {
                    Names::Significant => format!("  {} {}", v.number(), v.name()),
                    Names::Ignored => format!("  {}", v.number()),
                };
                let values: Vec<String> = enumeration.value.iter().map(value).collect();
                self.lines.extend(values);
                continue;
            }
            let message = self.messages.get(&name).cloned();
            let message = message.unwrap_or_else(|| panic!("{name} is defined in another file"));
            let is_map_entry = message.options.as_ref().is_some_and(|o| o.map_entry());
            let kind = if is_map_entry { "entry" } else { "message" };
            self.lines.push(format!("{kind} {id}"));
            let mut fields = message.field.clone();
            fields.sort_by_key(|f| f.number());
            for field in &fields {
                let line = self.field_line(field, &fields);
                self.lines.push(line);
            }
        }
    }

    /// The line of a field: `  number label type`, then `oneof` and the first number of its oneof, if any, and the name if names are
    /// significant.
    fn field_line(&mut self, field: &FieldDescriptorProto, all: &[FieldDescriptorProto]) -> String {
        let label = match field.label() {
            Label::Repeated => "repeated",
            Label::Optional if field.proto3_optional() => "optional",
            Label::Optional => "single",
            Label::Required => "required",
        };
        let kind = field.r#type().as_str_name();
        let kind = kind.trim_start_matches("TYPE_").to_lowercase();
        let type_id = match field.r#type() {
            Type::Message | Type::Enum => format!(" {}", self.type_id(field.type_name())),
            _ => String::new(),
        };
        let oneof = field.oneof_index.and_then(|index| {
            let mut members = all.iter().filter(|f| f.oneof_index == Some(index));
            members.next().map(|f| format!(" oneof {}", f.number()))
        });
        let name = match self.names {
            Names::Significant => format!(" {}", field.name()),
            Names::Ignored => String::new(),
        };
        let oneof = oneof.unwrap_or_default();
        format!("  {} {label} {kind}{type_id}{oneof}{name}", field.number())
    }
}
