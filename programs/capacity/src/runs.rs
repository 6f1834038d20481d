//! Runs as measuring commands print them, one JSON object a line, and the file that keeps them.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_json::Value;
use std::path::Path;

/// The commands that measure, and the fields without which a run of each says nothing.
const TOOLS: [(&str, &[&str]); 3] = [
    ("run", &["front_ends", "seed"]),
    ("virtual", &["front_ends", "seed"]),
    ("state", &["what", "seed"]),
];

/// The fields that a run of a tool has; the error says which tools there are.
pub fn known_tool(tool: &str) -> Result<&'static [&'static str], String> {
    let known = TOOLS
        .iter()
        .find(|(t, _)| *t == tool)
        .map(|(_, needed)| *needed);
    known.ok_or_else(|| {
        format!("tool {tool:?} is not known; right are \"run\", \"virtual\", \"state\"")
    })
}

/// One run, as it was written.
#[derive(Clone, Debug)]
pub struct Run {
    /// The line.
    pub text: String,
    /// What it says.
    pub value: Value,
}

impl Run {
    /// Checks a line of JSON. The error says what is wrong with it and what would be right.
    pub fn read(line: &str) -> Result<Run, String> {
        let value: Value = serde_json::from_str(line)
            .map_err(|e| format!("{e}; right is one JSON object a line, with finite numbers"))?;
        let Some(fields) = value.as_object() else {
            return Err("no object; right is {\"tool\": \"run\", ...}".into());
        };
        let tool = fields.get("tool").and_then(Value::as_str).unwrap_or("");
        let needed = known_tool(tool)?;
        // One that failed tells no more than what it was.
        let needed = if fields.get("ok") == Some(&Value::Bool(true)) {
            needed
        } else {
            &[]
        };
        let there = |f: &&&str| fields.get(**f).is_some_and(|v| !v.is_null());
        if let Some(field) = ["command", "ok"].iter().chain(needed).find(|f| !there(f)) {
            return Err(format!(
                "{field} is not there; a line of {tool:?} has command, ok, {}",
                needed.join(", ")
            ));
        }
        for (name, field) in fields {
            check(name, field)?;
        }
        Ok(Run {
            text: line.trim().into(),
            value,
        })
    }

    /// A number by its dotted path.
    pub fn number(&self, path: &str) -> Option<f64> {
        path.split('.')
            .try_fold(&self.value, |v, name| v.get(name))?
            .as_f64()
    }

    /// The tool that made it.
    pub fn tool(&self) -> &str {
        self.text_of("tool")
    }

    /// The command line that measures it again.
    pub fn command(&self) -> &str {
        self.text_of("command")
    }

    /// Whether it went as it should.
    pub fn ok(&self) -> bool {
        self.value.get("ok") == Some(&Value::Bool(true))
    }

    fn text_of(&self, name: &str) -> &str {
        self.value.get(name).and_then(Value::as_str).unwrap_or("")
    }
}

fn check(name: &str, field: &Value) -> Result<(), String> {
    let is = |good: bool, right: &str| match good {
        true => Ok(()),
        false => Err(format!("{name} is {field}; right is {right}")),
    };
    match name {
        "tool" | "what" | "tier" => is(field.is_string(), "a word"),
        "ok" => is(field.is_boolean(), "true or false"),
        "notes" => is(
            field
                .as_array()
                .is_some_and(|a| a.iter().all(Value::is_string)),
            "a list of texts, such as [\"1 change refused\"]",
        ),
        "command" => {
            let text = field.as_str().unwrap_or("");
            let paths = text.split([' ', '=']).any(|w| w.starts_with('/'));
            is(
                !text.is_empty() && !paths,
                "the command line that measures it again, without absolute paths",
            )
        }
        _ => match field {
            Value::Object(parts) => parts
                .iter()
                .try_for_each(|(part, v)| check(&format!("{name}.{part}"), v)),
            // What was not measured may be told as null; a quantile that is there is a number.
            Value::Null => is(
                !name.rsplit('.').next().is_some_and(quantile),
                "a finite number",
            ),
            Value::String(_) | Value::Bool(_) => Ok(()),
            _ => is(
                field.as_f64().is_some_and(f64::is_finite),
                "a finite number, or the field left out",
            ),
        },
    }
}

/// Whether a name is that of a quantile, such as `p99`.
fn quantile(name: &str) -> bool {
    name.strip_prefix('p')
        .is_some_and(|n| n.parse::<u32>().is_ok())
}

/// Reads lines of runs; empty ones are passed over. Each error is one line: file, line, what, what would be right.
pub fn read_lines(name: &str, text: &str) -> Result<Vec<Run>, Vec<String>> {
    let mut runs = Vec::new();
    let mut wrong = Vec::new();
    for (n, line) in text
        .lines()
        .enumerate()
        .filter(|(_, l)| !l.trim().is_empty())
    {
        match Run::read(line) {
            Ok(run) => runs.push(run),
            Err(e) => wrong.push(format!("{name}:{}: {e}", n + 1)),
        }
    }
    if wrong.is_empty() {
        Ok(runs)
    } else {
        Err(wrong)
    }
}

/// Where runs were measured. No names, no paths.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Cores that the system gives to a process.
    pub cores: usize,
    /// Memory in GiB.
    pub memory_gb: u64,
}

impl Machine {
    /// This one.
    pub fn this() -> Result<Machine, String> {
        let cores = std::thread::available_parallelism()
            .map_err(|e| format!("cores: {e}"))?
            .get();
        let file = "/proc/meminfo";
        let text = std::fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
        let total = text.lines().find_map(|l| l.strip_prefix("MemTotal:"));
        let kb = total.and_then(|t| t.split_whitespace().next()?.parse::<u64>().ok());
        let kb = kb.ok_or_else(|| format!("{file}: no line MemTotal: with a number of kB"))?;
        Ok(Machine {
            cores,
            memory_gb: (kb + (1 << 19)) >> 20,
        })
    }
}

/// Runs that were kept: the file `slopes.json`.
#[derive(Clone, Debug)]
pub struct Kept {
    /// When the last of them was added.
    pub day: String,
    /// Where they were measured.
    pub machine: Machine,
    /// The runs, in the order in which they were added.
    pub runs: Vec<Run>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct KeptFile<'a> {
    day: String,
    machine: Machine,
    #[serde(borrow)]
    runs: Vec<&'a RawValue>,
}

impl Kept {
    /// Reads the file's text; each run in it is checked as when it was added.
    pub fn read(name: &str, text: &str) -> Result<Kept, Vec<String>> {
        let file: KeptFile = serde_json::from_str(text).map_err(|e| {
            vec![format!(
                "{name}:{}: {e}; right is {{\"day\": ..., \"machine\": ..., \"runs\": [...]}}",
                e.line()
            )]
        })?;
        let mut runs = Vec::new();
        let mut wrong = Vec::new();
        for (n, raw) in file.runs.iter().enumerate() {
            match Run::read(raw.get()) {
                Ok(run) => runs.push(run),
                Err(e) => wrong.push(format!("{name}: run {}: {e}", n + 1)),
            }
        }
        if wrong.is_empty() {
            Ok(Kept {
                day: file.day,
                machine: file.machine,
                runs,
            })
        } else {
            Err(wrong)
        }
    }

    /// Whether a run is among them.
    pub fn holds(&self, run: &Run) -> bool {
        self.runs.iter().any(|r| r.value == run.value)
    }

    /// Adds a run; the same one twice is one. Says whether it was new.
    pub fn add(&mut self, run: Run) -> bool {
        let new = !self.holds(&run);
        if new {
            self.runs.push(run);
        }
        new
    }

    /// The file's text, a run a line.
    pub fn text(&self) -> String {
        let machine = serde_json::to_string(&self.machine).unwrap_or_default();
        let runs: Vec<&str> = self.runs.iter().map(|r| r.text.as_str()).collect();
        let day = Value::from(self.day.as_str());
        format!(
            "{{\"day\": {day}, \"machine\": {machine}, \"runs\": [\n{}\n]}}\n",
            runs.join(",\n")
        )
    }
}

/// A path's last part, as lines name it.
pub fn short(path: &Path) -> String {
    path.file_name().map_or_else(
        || path.display().to_string(),
        |n| n.to_string_lossy().into_owned(),
    )
}
