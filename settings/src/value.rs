//! Values, types and constraints as one lattice: what is written is evaluated, unified with the schema, and made
//! concrete. All errors are collected, none ends the work.

use indexmap::IndexMap;
use tansy_syntax::ast::{Decl, Expr, Label, Relation, Spanned};
use tansy_syntax::{Diagnostic, Span};

/// The schema's place among the sources.
pub const SCHEMA: usize = 0;
/// References that lead to references; more is taken for a circle.
const HOPS: usize = 64;

/// A value that has no parts.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub enum Scalar {
    Bool(bool),
    Int(i64),
    Float(f64),
    Duration(i64),
    Size(i64),
    Text(String),
}

/// Types of scalars.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Type {
    Bool,
    Int,
    Number,
    Duration,
    Size,
    Text,
}

impl Type {
    fn named(name: &str) -> Option<Type> {
        Some(match name {
            "bool" => Type::Bool,
            "int" => Type::Int,
            "number" => Type::Number,
            "duration" => Type::Duration,
            "size" => Type::Size,
            "string" => Type::Text,
            _ => return None,
        })
    }
    fn words(self) -> &'static str {
        match self {
            Type::Bool => "true or false",
            Type::Int => "a whole number",
            Type::Number => "a number",
            Type::Duration => "a duration such as 750ms",
            Type::Size => "a size such as 4MiB",
            Type::Text => "a string",
        }
    }
    fn holds(self, s: &Scalar) -> bool {
        match s {
            Scalar::Bool(_) => self == Type::Bool,
            Scalar::Int(_) => matches!(self, Type::Int | Type::Number),
            Scalar::Float(_) => self == Type::Number,
            Scalar::Duration(_) => self == Type::Duration,
            Scalar::Size(_) => self == Type::Size,
            Scalar::Text(_) => self == Type::Text,
        }
    }
    fn both(self, other: Type) -> Option<Type> {
        match (self, other) {
            (a, b) if a == b => Some(a),
            (Type::Int, Type::Number) | (Type::Number, Type::Int) => Some(Type::Int),
            _ => None,
        }
    }
}

impl std::fmt::Display for Scalar {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Scalar::Bool(b) => write!(f, "{b}"),
            Scalar::Int(n) => write!(f, "{n}"),
            Scalar::Float(x) => write!(f, "{x}"),
            Scalar::Duration(us) => {
                let units = [
                    (3_600_000_000, "h"),
                    (60_000_000, "m"),
                    (1_000_000, "s"),
                    (1000, "ms"),
                    (1, "us"),
                ];
                let (size, unit) = units
                    .into_iter()
                    .find(|(n, _)| us % n == 0 && *us != 0)
                    .unwrap_or((1_000_000, "s"));
                write!(f, "{}{unit}", us / size)
            }
            Scalar::Size(b) => {
                let units = [
                    (1 << 30, "GiB"),
                    (1 << 20, "MiB"),
                    (1 << 10, "KiB"),
                    (1, "B"),
                ];
                let (size, unit) = units
                    .into_iter()
                    .find(|(n, _)| b % n == 0 && *b != 0)
                    .unwrap_or((1, "B"));
                write!(f, "{}{unit}", b / size)
            }
            Scalar::Text(t) => write!(f, "{t:?}"),
        }
    }
}

/// One bound.
#[derive(Clone, Debug, PartialEq)]
pub struct Bound {
    relation: Relation,
    limit: Scalar,
}

impl Bound {
    fn holds(&self, s: &Scalar) -> bool {
        let figure = |s: &Scalar| match s {
            Scalar::Int(n) | Scalar::Duration(n) | Scalar::Size(n) => Some(*n as f64),
            Scalar::Float(x) => Some(*x),
            Scalar::Bool(_) | Scalar::Text(_) => None,
        };
        match (self.relation, figure(s), figure(&self.limit)) {
            (Relation::Not, _, _) => *s != self.limit,
            (Relation::AtLeast, Some(a), Some(b)) => a >= b,
            (Relation::Above, Some(a), Some(b)) => a > b,
            (Relation::AtMost, Some(a), Some(b)) => a <= b,
            (Relation::Below, Some(a), Some(b)) => a < b,
            _ => false,
        }
    }
}

impl std::fmt::Display for Bound {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let word = match self.relation {
            Relation::AtLeast => "at least",
            Relation::Above => "above",
            Relation::AtMost => "at most",
            Relation::Below => "below",
            Relation::Not => "not",
        };
        write!(f, "{word} {}", self.limit)
    }
}

/// A record's fields.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Record {
    /// By name, in the order written.
    pub fields: IndexMap<String, Field>,
    /// What every other field must be.
    pub any: Option<Box<Node>>,
    /// No other field may stand here.
    pub closed: bool,
}

/// One field.
#[derive(Clone, Debug, PartialEq)]
pub struct Field {
    /// Its value.
    pub node: Node,
    /// It may be left out.
    pub optional: bool,
    /// Its name's place.
    pub span: Span,
}

/// A value, or what is known of it.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// Nothing is known.
    Any,
    /// A value.
    Scalar(Scalar),
    /// A type with bounds; without a type, bounds alone.
    Typed(Option<Type>, Vec<Bound>),
    /// Fields.
    Record(Record),
    /// Values, and what further ones must be.
    List(Vec<Node>, Option<Box<Node>>),
    /// Alternatives; `true` marks a default.
    Or(Vec<(bool, Node)>),
    /// Wrong; told already.
    Bad,
}

/// A value and where it stands.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// What.
    pub kind: Kind,
    /// Where.
    pub span: Span,
}

/// The fields that a name may mean, the innermost record first.
struct Scope<'a> {
    fields: &'a [Decl],
    outer: Option<&'a Scope<'a>>,
}

/// Evaluates a file's fields where the schema's definitions are known.
pub fn evaluate(file: &[Decl], schema: &[Decl], span: Span, errors: &mut Vec<Diagnostic>) -> Node {
    let outer = Scope {
        fields: schema,
        outer: None,
    };
    let scope = Scope {
        fields: file,
        outer: Some(&outer),
    };
    Node {
        kind: Kind::Record(record(file, &scope, span.source == SCHEMA, 0, errors)),
        span,
    }
}

/// A definition of the schema.
pub fn definition(name: &str, schema: &[Decl], errors: &mut Vec<Diagnostic>) -> Node {
    let scope = Scope {
        fields: schema,
        outer: None,
    };
    let path = [name.to_string()];
    reference(&path, Span::default(), &scope, 0, errors)
}

fn record(
    fields: &[Decl],
    scope: &Scope<'_>,
    closed: bool,
    hops: usize,
    errors: &mut Vec<Diagnostic>,
) -> Record {
    let mut out = Record {
        closed,
        ..Record::default()
    };
    for d in fields {
        let node = value(&d.value, scope, hops, errors);
        match &d.label.node {
            Label::Any => out.any = Some(Box::new(node)),
            // Definitions are names to refer to, not fields.
            Label::Name(name) if name.starts_with('#') => {}
            Label::Name(name) => {
                let span = d.label.span;
                let node = match out.fields.shift_remove(name) {
                    Some(before) => unify(node, before.node, name, errors),
                    None => node,
                };
                out.fields.insert(
                    name.clone(),
                    Field {
                        node,
                        optional: d.optional,
                        span,
                    },
                );
            }
        }
    }
    out
}

fn value(e: &Spanned<Expr>, scope: &Scope<'_>, hops: usize, errors: &mut Vec<Diagnostic>) -> Node {
    let span = e.span;
    let scalar = |s| Kind::Scalar(s);
    let kind = match &e.node {
        Expr::Bool(b) => scalar(Scalar::Bool(*b)),
        Expr::Int(n) => scalar(Scalar::Int(*n)),
        Expr::Float(x) => scalar(Scalar::Float(*x)),
        Expr::Duration(d) => scalar(Scalar::Duration(*d)),
        Expr::Size(b) => scalar(Scalar::Size(*b)),
        Expr::Text(t) => scalar(Scalar::Text(t.clone())),
        Expr::Name(path) => {
            return Node {
                span,
                ..reference(path, span, scope, hops, errors)
            }
        }
        Expr::Record(fields) => {
            let inner = Scope {
                fields,
                outer: Some(scope),
            };
            Kind::Record(record(fields, &inner, span.source == SCHEMA, hops, errors))
        }
        Expr::List(items, rest) => {
            let items = items
                .iter()
                .map(|i| value(i, scope, hops, errors))
                .collect();
            let rest = rest
                .as_ref()
                .map(|r| Box::new(value(r, scope, hops, errors)));
            Kind::List(items, rest)
        }
        Expr::Bound(relation, limit) => {
            let limit = value(limit, scope, hops, errors);
            match limit.kind {
                Kind::Scalar(limit) => Kind::Typed(
                    None,
                    vec![Bound {
                        relation: *relation,
                        limit,
                    }],
                ),
                _ => Kind::Bad,
            }
        }
        Expr::Default(inner) => Kind::Or(vec![(true, value(inner, scope, hops, errors))]),
        Expr::Or(list) => Kind::Or(
            list.iter()
                .map(|e| match &e.node {
                    Expr::Default(inner) => (true, value(inner, scope, hops, errors)),
                    _ => (false, value(e, scope, hops, errors)),
                })
                .collect(),
        ),
        Expr::And(list) => {
            let mut all = Node {
                kind: Kind::Any,
                span,
            };
            for e in list {
                let next = value(e, scope, hops, errors);
                all = unify(all, next, "", errors);
            }
            all.kind
        }
        Expr::Error => Kind::Bad,
    };
    Node { kind, span }
}

fn reference(
    path: &[String],
    span: Span,
    scope: &Scope<'_>,
    hops: usize,
    errors: &mut Vec<Diagnostic>,
) -> Node {
    let bad = Node {
        kind: Kind::Bad,
        span,
    };
    let name = path.join(".");
    if hops > HOPS {
        errors.push(Diagnostic::new(span, format!("`{name}` refers to itself")));
        return bad;
    }
    let mut at = Some(scope);
    while let Some(s) = at {
        let found = s
            .fields
            .iter()
            .find(|d| d.label.node == Label::Name(path[0].clone()));
        if let Some(mut d) = found {
            // Fields of records that stand as they are written can be reached by their path.
            let mut scopes: Vec<&[Decl]> = Vec::new();
            for part in &path[1..] {
                let Expr::Record(fields) = &d.value.node else {
                    break;
                };
                let next = fields
                    .iter()
                    .find(|d| d.label.node == Label::Name(part.clone()));
                let Some(next) = next else {
                    let known = fields.iter().filter_map(|d| match &d.label.node {
                        Label::Name(n) => Some(n.as_str()),
                        Label::Any => None,
                    });
                    let d = Diagnostic::new(
                        span,
                        format!("`{name}`: no field `{part}` is written there"),
                    );
                    errors.push(d.help(near(part, known)));
                    return bad;
                };
                scopes.push(fields);
                d = next;
            }
            return within(&scopes, s, &d.value, hops + 1, errors);
        }
        at = s.outer;
    }
    match Type::named(&name) {
        Some(t) => Node {
            kind: Kind::Typed(Some(t), Vec::new()),
            span,
        },
        None => {
            let types = ["bool", "int", "number", "duration", "size", "string"];
            let mut known: Vec<&str> = types.to_vec();
            let mut at = Some(scope);
            while let Some(s) = at {
                known.extend(s.fields.iter().filter_map(|d| match &d.label.node {
                    Label::Name(n) => Some(n.as_str()),
                    Label::Any => None,
                }));
                at = s.outer;
            }
            let d = Diagnostic::new(span, format!("`{name}` is not known here"));
            let help = near(&name, known.into_iter());
            errors.push(d.help(if help.is_empty() {
                format!("a string is written \"{name}\"")
            } else {
                help
            }));
            bad
        }
    }
}

/// Evaluates a value inside the records that lead to it.
fn within(
    scopes: &[&[Decl]],
    outer: &Scope<'_>,
    e: &Spanned<Expr>,
    hops: usize,
    errors: &mut Vec<Diagnostic>,
) -> Node {
    match scopes.split_first() {
        None => value(e, outer, hops, errors),
        Some((fields, rest)) => {
            let scope = Scope {
                fields,
                outer: Some(outer),
            };
            within(rest, &scope, e, hops, errors)
        }
    }
}

/// "did you mean", if a name is near.
fn near<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> String {
    let scored = known.map(|k| (strsim::damerau_levenshtein(name, k), k));
    match scored
        .min()
        .filter(|(d, k)| *d <= (k.len() / 3).clamp(1, 3))
    {
        Some((_, k)) => format!("did you mean `{k}`?"),
        None => String::new(),
    }
}

/// What a node allows, in words.
pub fn describe(node: &Node) -> String {
    match &node.kind {
        Kind::Any => "any value".into(),
        Kind::Scalar(s) => s.to_string(),
        Kind::Typed(t, bounds) => {
            let mut words = t.map_or("a value".to_string(), |t| t.words().to_string());
            if !bounds.is_empty() {
                let bounds: Vec<String> = bounds.iter().map(Bound::to_string).collect();
                words.push_str(&format!(", {}", bounds.join(" and ")));
            }
            words
        }
        Kind::Record(_) => "fields in { }".into(),
        Kind::List(..) => "a list in [ ]".into(),
        Kind::Or(list) => {
            let scalars = list.iter().all(|(_, n)| matches!(n.kind, Kind::Scalar(_)));
            // A default beside a type says nothing new of what is allowed.
            let shown = list
                .iter()
                .filter(|(d, n)| scalars || !*d || !matches!(n.kind, Kind::Scalar(_)));
            let shown: Vec<String> = shown.map(|(_, n)| describe(n)).collect();
            shown.join(" or ")
        }
        Kind::Bad => "something else".into(),
    }
}

/// What both allow. `a` is what was written, `b` what is wanted; errors point at `a`.
pub fn unify(a: Node, b: Node, path: &str, errors: &mut Vec<Diagnostic>) -> Node {
    // What is shown is the file's place, never the schema's.
    let span = if a.span.source == SCHEMA {
        b.span
    } else {
        a.span
    };
    let clash = |a: &Node, b: &Node, errors: &mut Vec<Diagnostic>| {
        let d = Diagnostic::new(span, format!("{} does not fit", found(a))).at(path);
        errors.push(d.help(format!("want {}", describe(b))));
        Kind::Bad
    };
    let kind = match (a.kind, b.kind) {
        (Kind::Bad, _) | (_, Kind::Bad) => Kind::Bad,
        (Kind::Any, k) | (k, Kind::Any) => k,
        (Kind::Or(list), k) => alternatives(
            list,
            Node {
                kind: k,
                span: b.span,
            },
            true,
            span,
            path,
            errors,
        ),
        (k, Kind::Or(list)) => alternatives(
            list,
            Node {
                kind: k,
                span: a.span,
            },
            false,
            span,
            path,
            errors,
        ),
        (Kind::Scalar(x), Kind::Scalar(y)) if equal(&x, &y) => Kind::Scalar(x),
        (Kind::Scalar(s), Kind::Typed(t, bounds)) | (Kind::Typed(t, bounds), Kind::Scalar(s)) => {
            let fits = t.is_none_or(|t| t.holds(&s)) && bounds.iter().all(|b| b.holds(&s));
            if fits {
                Kind::Scalar(s)
            } else {
                clash(
                    &Node {
                        kind: Kind::Scalar(s),
                        span,
                    },
                    &Node {
                        kind: Kind::Typed(t, bounds),
                        span,
                    },
                    errors,
                )
            }
        }
        (Kind::Typed(s, mut p), Kind::Typed(t, q)) => {
            let both = match (s, t) {
                (Some(s), Some(t)) => s.both(t).map(Some),
                (s, t) => Some(s.or(t)),
            };
            match both {
                Some(t) => {
                    p.extend(q);
                    Kind::Typed(t, p)
                }
                None => clash(
                    &Node {
                        kind: Kind::Typed(s, p),
                        span,
                    },
                    &Node {
                        kind: Kind::Typed(t, q),
                        span,
                    },
                    errors,
                ),
            }
        }
        (Kind::Record(x), Kind::Record(y)) => Kind::Record(records(x, y, path, errors)),
        (Kind::List(x, xr), Kind::List(y, yr)) => lists((x, xr), (y, yr), span, path, errors),
        (x, y) => clash(&Node { kind: x, span }, &Node { kind: y, span }, errors),
    };
    Node { kind, span }
}

fn equal(x: &Scalar, y: &Scalar) -> bool {
    match (x, y) {
        (Scalar::Int(a), Scalar::Float(b)) | (Scalar::Float(b), Scalar::Int(a)) => *a as f64 == *b,
        _ => x == y,
    }
}

fn found(node: &Node) -> String {
    match &node.kind {
        Kind::Scalar(Scalar::Text(t)) => format!("the string {t:?}"),
        Kind::Record(_) => "a record".into(),
        Kind::List(..) => "a list".into(),
        _ => describe(node),
    }
}

fn alternatives(
    list: Vec<(bool, Node)>,
    other: Node,
    list_is_written: bool,
    span: Span,
    path: &str,
    errors: &mut Vec<Diagnostic>,
) -> Kind {
    let shown = Node {
        kind: Kind::Or(list.clone()),
        span,
    };
    let (mut fits, mut nearest): (Vec<(bool, Node)>, Option<Vec<Diagnostic>>) = (Vec::new(), None);
    for (default, n) in list {
        let mut wrong = Vec::new();
        let shape = std::mem::discriminant(&n.kind) == std::mem::discriminant(&other.kind)
            && matches!(n.kind, Kind::Record(_) | Kind::List(..));
        let both = if list_is_written {
            unify(n, other.clone(), path, &mut wrong)
        } else {
            unify(other.clone(), n, path, &mut wrong)
        };
        if wrong.is_empty() {
            fits.push((default, both));
        } else if shape {
            let depth = |list: &[Diagnostic]| list.iter().map(|d| d.path.len()).max();
            if nearest.as_deref().is_none_or(|n| depth(n) < depth(&wrong)) {
                nearest = Some(wrong);
            }
        }
    }
    match fits.len() {
        0 => {
            // Of alternatives of the same shape, what is wrong inside says more.
            match nearest {
                Some(wrong) => errors.extend(wrong),
                None => {
                    let (a, b) = if list_is_written {
                        (&shown, &other)
                    } else {
                        (&other, &shown)
                    };
                    let d = Diagnostic::new(span, format!("{} does not fit", found(a))).at(path);
                    errors.push(d.help(format!("want {}", describe(b))));
                }
            }
            Kind::Bad
        }
        // One is left: it is the value, unless it is only a type that the default would have filled.
        1 => fits.remove(0).1.kind,
        _ if fits.iter().all(|(_, n)| n.kind == fits[0].1.kind) => fits.remove(0).1.kind,
        _ => Kind::Or(fits),
    }
}

fn records(mut a: Record, b: Record, path: &str, errors: &mut Vec<Diagnostic>) -> Record {
    let mut out = Record {
        closed: a.closed || b.closed,
        ..Record::default()
    };
    let names: Vec<String> = a.fields.keys().cloned().collect();
    for name in names {
        let Some(f) = a.fields.shift_remove(&name) else {
            continue;
        };
        let here = join(path, &name);
        let field = match (b.fields.get(&name), &b.any) {
            (Some(g), _) => {
                let optional = f.optional && g.optional;
                Field {
                    node: unify(f.node, g.node.clone(), &here, errors),
                    optional,
                    span: f.span,
                }
            }
            (None, Some(any)) => Field {
                node: unify(f.node, (**any).clone(), &here, errors),
                ..f
            },
            (None, None) if b.closed => {
                let d =
                    Diagnostic::new(f.span, format!("no field `{name}` belongs here")).at(&here);
                let help = near(&name, b.fields.keys().map(String::as_str));
                let all: Vec<&str> = b.fields.keys().map(String::as_str).collect();
                errors.push(d.help(if help.is_empty() {
                    format!("the fields are {}", all.join(", "))
                } else {
                    help
                }));
                continue;
            }
            (None, None) => f,
        };
        out.fields.insert(name, field);
    }
    for (name, g) in b.fields {
        if !out.fields.contains_key(&name) {
            out.fields.insert(name, g);
        }
    }
    out.any = match (a.any, b.any) {
        (Some(x), Some(y)) => Some(Box::new(unify(*x, *y, path, errors))),
        (x, y) => x.or(y),
    };
    out
}

fn lists(
    (x, xr): (Vec<Node>, Option<Box<Node>>),
    (y, yr): (Vec<Node>, Option<Box<Node>>),
    span: Span,
    path: &str,
    errors: &mut Vec<Diagnostic>,
) -> Kind {
    let (a, b) = (x.len(), y.len());
    let too_many = b > a && xr.is_none() || a > b && yr.is_none();
    if too_many {
        let d = Diagnostic::new(span, format!("a list of {a} does not fit")).at(path);
        errors.push(d.help(format!("want {b} values")));
        return Kind::Bad;
    }
    let (mut x, mut y, mut out) = (x.into_iter(), y.into_iter(), Vec::new());
    for n in 0..a.max(b) {
        let here = format!("{path}[{n}]");
        let any = || Node {
            kind: Kind::Any,
            span,
        };
        let rest = |r: &Option<Box<Node>>| r.as_ref().map_or_else(any, |r| (**r).clone());
        let (one, two) = (
            x.next().unwrap_or_else(|| rest(&xr)),
            y.next().unwrap_or_else(|| rest(&yr)),
        );
        out.push(unify(one, two, &here, errors));
    }
    let rest = match (xr, yr) {
        (Some(x), Some(y)) => Some(Box::new(unify(*x, *y, path, errors))),
        _ => None,
    };
    Kind::List(out, rest)
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_string()
    } else {
        format!("{path}.{name}")
    }
}

/// Takes defaults, leaves out what may be, and tells of what is missing. `near` is the nearest place in the file.
pub fn concrete(node: Node, path: &str, near: Span, errors: &mut Vec<Diagnostic>) -> Node {
    let span = if node.span.source == SCHEMA {
        near
    } else {
        node.span
    };
    let missing = |node: &Node, errors: &mut Vec<Diagnostic>| {
        let d = Diagnostic::new(span, "no value is given").at(path);
        errors.push(d.help(format!("want {}", describe(node))));
        Kind::Bad
    };
    let kind = match node.kind {
        Kind::Bad => Kind::Bad,
        Kind::Scalar(s) => Kind::Scalar(s),
        Kind::Any | Kind::Typed(..) => missing(&node, errors),
        Kind::Or(list) => match list.iter().position(|(default, _)| *default) {
            Some(n) => {
                let mut list = list;
                let chosen = list.swap_remove(n).1;
                concrete(chosen, path, span, errors).kind
            }
            None => missing(
                &Node {
                    kind: Kind::Or(list),
                    span,
                },
                errors,
            ),
        },
        Kind::Record(r) => {
            let mut fields = IndexMap::new();
            for (name, f) in r.fields {
                if f.optional && !is_given(&f.node) {
                    continue;
                }
                let at = if f.span.source == SCHEMA {
                    span
                } else {
                    f.span
                };
                let node = concrete(f.node, &join(path, &name), at, errors);
                fields.insert(
                    name,
                    Field {
                        node,
                        optional: false,
                        span: at,
                    },
                );
            }
            Kind::Record(Record {
                fields,
                any: None,
                closed: true,
            })
        }
        Kind::List(items, _) => {
            let one = |(n, i)| concrete(i, &format!("{path}[{n}]"), span, errors);
            Kind::List(items.into_iter().enumerate().map(one).collect(), None)
        }
    };
    Node { kind, span }
}

/// Whether the file gave it: an optional field that only the schema knows is left out.
fn is_given(node: &Node) -> bool {
    node.span.source != SCHEMA
}
