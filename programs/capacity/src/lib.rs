//! The capacity page: measured runs are kept, slopes fitted to them, figures set beside their budgets, and all of it made
//! again and compared.
//!
//! - [`runs`]: runs as measuring commands print them, and the file that keeps them.
//! - [`fit`]: how a cost grows with size.
//! - [`figures`]: what `figures.toml` defines, and its values.
//! - [`page`], [`plot`]: what is made from them.
#![allow(clippy::too_many_lines)] // docs/ROADMAP.md, "Readable code": still to be split.

pub mod figures;
pub mod fit;
pub mod page;
pub mod plot;
pub mod runs;

use clap::{Args, Subcommand};
use figures::{Definitions, Made};
use runs::{read_lines, short, Kept, Machine};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// What is done with the page; one more program may take these among its own commands.
#[derive(Subcommand)]
pub enum Command {
    /// Makes docs/CAPACITY.md and its plots from docs/capacity.
    Page(PageArgs),
    /// Checks runs and adds them to those that the page is made from.
    Record(RecordArgs),
}

/// Of `page`.
#[derive(Args)]
pub struct PageArgs {
    /// Make everything again in memory and compare: a line for each file that differs, exit code 1.
    #[arg(long)]
    pub check: bool,
    /// The folder of CAPACITY.md, capacity/ and img/.
    #[arg(long, default_value = "docs")]
    pub docs: PathBuf,
}

/// Of `record`.
#[derive(Args)]
pub struct RecordArgs {
    /// The file that keeps them; begun if it is not there.
    #[arg(long, default_value = "docs/capacity/slopes.json")]
    pub into: PathBuf,
    /// Leave out the runs that it holds by now.
    #[arg(long)]
    pub anew: bool,
    /// Files of runs, one JSON object a line; each line is added as written, the same one twice is one.
    #[arg(required = true)]
    pub files: Vec<PathBuf>,
}

impl Command {
    /// Does it. What goes wrong is told a line each. Exit codes: 0 done, 1 something was wrong or differs.
    pub fn run(&self) -> ExitCode {
        let done = match self {
            Command::Page(a) if a.check => check(&a.docs),
            Command::Page(a) => make(&a.docs),
            Command::Record(a) => record(a),
        };
        match done {
            Ok(text) => {
                println!("{text}");
                ExitCode::SUCCESS
            }
            Err(lines) => {
                lines.iter().for_each(|l| eprintln!("{l}"));
                ExitCode::FAILURE
            }
        }
    }
}

fn read(path: &Path) -> Result<String, Vec<String>> {
    std::fs::read_to_string(path).map_err(|e| vec![format!("{}: {e}", path.display())])
}

fn write(path: &Path, text: &str) -> Result<(), Vec<String>> {
    std::fs::write(path, text).map_err(|e| vec![format!("{}: {e}", path.display())])
}

/// The page and its plots as they should be: path under the folder, and content.
fn outputs(docs: &Path, kept: &Kept) -> Result<Vec<(PathBuf, String)>, Vec<String>> {
    let figures = docs.join("capacity/figures.toml");
    let template = docs.join("capacity/CAPACITY.in.md");
    let defined = Definitions::read(&short(&figures), &read(&figures)?)?;
    let made = Made::new(&short(&figures), defined, &kept.runs)?;
    let page = page::page(&short(&template), &read(&template)?, &made, kept)?;
    let mut files = vec![(PathBuf::from("CAPACITY.md"), page)];
    for (name, svg) in plot::all(&made).map_err(|e| vec![e])? {
        files.push((Path::new("img").join(name), svg));
    }
    Ok(files)
}

fn kept(docs: &Path) -> Result<(Kept, String), Vec<String>> {
    let path = docs.join("capacity/slopes.json");
    let text = read(&path)?;
    Ok((Kept::read(&short(&path), &text)?, text))
}

/// Makes the page and its plots; plots that no slope has any more are taken away. Says what was made.
pub fn make(docs: &Path) -> Result<String, Vec<String>> {
    let (kept, _) = kept(docs)?;
    let files = outputs(docs, &kept)?;
    let img = docs.join("img");
    std::fs::create_dir_all(&img).map_err(|e| vec![format!("{}: {e}", img.display())])?;
    for path in stray(docs, &files)? {
        let path = docs.join(path);
        std::fs::remove_file(&path).map_err(|e| vec![format!("{}: {e}", path.display())])?;
    }
    for (path, text) in &files {
        write(&docs.join(path), text)?;
    }
    Ok(format!(
        "made CAPACITY.md and {} plots from {} runs",
        files.len() - 1,
        kept.runs.len()
    ))
}

/// Plots of the page that lie there and would not be made.
fn stray(docs: &Path, files: &[(PathBuf, String)]) -> Result<Vec<PathBuf>, Vec<String>> {
    let img = docs.join("img");
    if !img.is_dir() {
        return Ok(Vec::new());
    }
    let entries = std::fs::read_dir(&img).map_err(|e| vec![format!("{}: {e}", img.display())])?;
    let names = entries.filter_map(|e| e.ok()?.file_name().into_string().ok());
    let ours = names.filter(|n| n.starts_with("capacity-") && n.ends_with(".svg"));
    let mut stray: Vec<PathBuf> = ours
        .map(|n| Path::new("img").join(n))
        .filter(|p| files.iter().all(|(f, _)| f != p))
        .collect();
    stray.sort();
    Ok(stray)
}

/// Makes everything in memory and compares it with what lies there: one line for each file that differs.
pub fn check(docs: &Path) -> Result<String, Vec<String>> {
    let (kept, text) = kept(docs)?;
    let mut wrong = Vec::new();
    wrong.extend(differs("capacity/slopes.json", &once(&kept).text(), &text));
    wrong.extend(unrecorded(docs, &kept)?);
    let files = outputs(docs, &kept)?;
    for (path, made) in &files {
        let name = path.display().to_string();
        match std::fs::read_to_string(docs.join(path)) {
            Ok(there) => wrong.extend(differs(&name, made, &there)),
            Err(e) => wrong.push(format!("{name}: {e}; right is what `page` makes")),
        }
    }
    wrong.extend(
        stray(docs, &files)?
            .iter()
            .map(|p| format!("{}: of no slope; `page` takes it away", p.display())),
    );
    match wrong.is_empty() {
        true => Ok(format!(
            "CAPACITY.md and {} plots are what {} runs give",
            files.len() - 1,
            kept.runs.len()
        )),
        false => Err(wrong),
    }
}

/// Without the runs that are there twice.
fn once(kept: &Kept) -> Kept {
    let mut once = Kept {
        runs: Vec::new(),
        ..kept.clone()
    };
    for run in &kept.runs {
        once.add(run.clone());
    }
    once
}

/// Lines of docs/capacity/runs that were never recorded.
fn unrecorded(docs: &Path, kept: &Kept) -> Result<Vec<String>, Vec<String>> {
    let folder = docs.join("capacity/runs");
    if !folder.is_dir() {
        return Ok(Vec::new());
    }
    let entries =
        std::fs::read_dir(&folder).map_err(|e| vec![format!("{}: {e}", folder.display())])?;
    let mut files: Vec<PathBuf> = entries.filter_map(|e| Some(e.ok()?.path())).collect();
    files.retain(|f| f.extension().is_some_and(|e| e == "jsonl"));
    files.sort();
    let mut wrong = Vec::new();
    for file in files {
        let name = format!("capacity/runs/{}", short(&file));
        let missing = read_lines(&name, &read(&file)?)?
            .iter()
            .filter(|r| !kept.holds(r))
            .count();
        if missing > 0 {
            wrong.push(format!(
                "{name}: {missing} of its runs are not in slopes.json; right is `record` of it"
            ));
        }
    }
    Ok(wrong)
}

fn differs(name: &str, made: &str, there: &str) -> Option<String> {
    if made == there {
        return None;
    }
    let mut at = 1;
    let (mut a, mut b) = (made.lines(), there.lines());
    loop {
        match (a.next(), b.next()) {
            (Some(x), Some(y)) if x == y => at += 1,
            (None, None) => return Some(format!("{name}:{at}: differs in how it ends")),
            (x, y) => {
                let brief = |l: Option<&str>| {
                    l.map_or("nothing".into(), |l| {
                        l.chars().take(160).collect::<String>()
                    })
                };
                return Some(format!(
                    "{name}:{at}: there is {:?}, right is {:?}",
                    brief(y),
                    brief(x)
                ));
            }
        }
    }
}

/// Adds runs to the file that keeps them. Nothing is added when one line of any file is wrong. Says how many were new.
pub fn record(a: &RecordArgs) -> Result<String, Vec<String>> {
    let day = time::OffsetDateTime::now_utc().date().to_string();
    let machine = Machine::this().map_err(|e| vec![e])?;
    let begun = Kept {
        day: day.clone(),
        machine: machine.clone(),
        runs: Vec::new(),
    };
    let mut kept = match a.into.exists() && !a.anew {
        true => Kept::read(&a.into.display().to_string(), &read(&a.into)?)?,
        false => begun,
    };
    if kept.machine != machine {
        let (was, is) = (&kept.machine, &machine);
        return Err(vec![format!(
            "{}: its runs are of a machine of {} cores and {} GiB, this has {} and {}; right is the same, or --anew",
            a.into.display(),
            was.cores,
            was.memory_gb,
            is.cores,
            is.memory_gb
        )]);
    }
    let mut wrong = Vec::new();
    let mut new = 0;
    for file in &a.files {
        match read(file).and_then(|text| read_lines(&file.display().to_string(), &text)) {
            Ok(runs) => {
                new += runs
                    .into_iter()
                    .map(|r| usize::from(kept.add(r)))
                    .sum::<usize>()
            }
            Err(lines) => wrong.extend(lines),
        }
    }
    if !wrong.is_empty() {
        return Err(wrong);
    }
    if new > 0 {
        kept.day = day;
    }
    write(&a.into, &kept.text())?;
    Ok(format!("{new} runs added, {} kept", kept.runs.len()))
}
