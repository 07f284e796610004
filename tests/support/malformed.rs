//! Answers and requests whose head or chunks break a rule of HTTP/1.1.
//!
//! [`SPLIT_MARK`](super::script::SPLIT_MARK) marks a place within the line that breaks the rule.

/// How a sound answer tells where its body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    Length,
    Chunks,
    UntilClose,
}

impl Framing {
    pub const ALL: [Self; 3] = [Self::Length, Self::Chunks, Self::UntilClose];

    /// Returns the header line of the framing of `body`, without its end.
    fn line(self, body: &str) -> String {
        match self {
            Self::Length => format!("content-length: {}", body.len()),
            Self::Chunks => "transfer-encoding: chunked".to_string(),
            Self::UntilClose => "connection: close".to_string(),
        }
    }

    /// Returns `body` as it is sent.
    fn encode(self, body: &str) -> String {
        match self {
            Self::Length | Self::UntilClose => body.to_string(),
            Self::Chunks => {
                let (first, second) = body.split_at(body.len() / 2);
                let (first_size, second_size) = (first.len(), second.len());
                format!("{first_size:x}\r\n{first}\r\n{second_size:x}\r\n{second}\r\n0\r\n\r\n")
            }
        }
    }
}

/// Rule that the head of an answer breaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadFault {
    /// The head does not tell the length of the body, or tells it twice.
    Length,
    /// A line of the head is not a field.
    Line,
    /// The status is 000.
    Status,
    /// The name of a field holds a blank or a control byte.
    Name,
}

/// Values of `content-length` that are not a number of digits. `N` stands for the length of the body.
const LENGTHS: [&str; 10] = [
    "+^N",
    "-^N",
    "N^O",
    "^",
    "N^ N",
    "0x^N",
    "N^\u{a0}",
    "N^;",
    "1844674407370955161600^N",
    "N^.0",
];

/// Lines, with their ends, that are no field.
const LINES: [&str; 7] = [
    "server-lo^ad 1,0,8\r\n",
    "\n^",
    "server-load: 1,0^,8\n",
    " 1,0^,8\r\n",
    ": 1,0^,8\r\n",
    "server-load^ : 1,0,8\r\n",
    "server-load: 1\r^,0,8\r\n",
];

/// Names of fields that hold a blank or a control byte.
const NAMES: [&str; 6] = [
    "server^ load",
    "server^\u{1}load",
    "server^\u{7f}load",
    "server^\0load",
    "server^\tload",
    "server^\rload",
];

/// Returns answers with `body`, one for each way in which their heads break the rule. `fields` are
/// the other header lines.
pub fn heads(fault: HeadFault, framing: Framing, fields: &str, body: &str) -> Vec<String> {
    let (line, encoded) = (framing.line(body), framing.encode(body));
    let answer = |fields: &str| format!("HTTP/1.1 200 OK\r\n{fields}\r\n{encoded}");
    match fault {
        HeadFault::Status => {
            vec![format!("HTTP/1.1 0^00 OK\r\n{fields}{line}\r\n\r\n{encoded}")]
        }
        HeadFault::Line => {
            LINES.iter().map(|odd| answer(&format!("{fields}{odd}{line}\r\n"))).collect()
        }
        HeadFault::Name => {
            let odd = |name: &&str| answer(&format!("{fields}{name}: 1,0,8\r\n{line}\r\n"));
            NAMES.iter().map(odd).collect()
        }
        HeadFault::Length => length_lines(framing, body)
            .iter()
            .map(|lines| answer(&format!("{fields}{lines}\r\n")))
            .collect(),
    }
}

/// Returns header lines that do not tell the length of `body`.
fn length_lines(framing: Framing, body: &str) -> Vec<String> {
    let length = body.len().to_string();
    let odd =
        LENGTHS.iter().map(|value| format!("content-length: {}", value.replace('N', &length)));
    match framing {
        Framing::Length => {
            let two = format!("content-length: {length}\r\ncontent-^length: 1{length}");
            odd.chain([two]).collect()
        }
        Framing::UntilClose => odd.map(|line| format!("connection: close\r\n{line}")).collect(),
        Framing::Chunks => {
            let chunked = "transfer-encoding: chunked";
            let both =
                ["10", "1000", "x"].map(|length| format!("{chunked}\r\ncontent-length: ^{length}"));
            let others = [
                "transfer-encoding: chun^kee".to_string(),
                "transfer-encoding: chunked^\u{a0}".to_string(),
                "transfer-encoding: ^".to_string(),
                format!("{chunked}\r\ntransfer-encoding: ^gzip"),
                format!("{chunked}\r\ntransfer-^encoding: chunked"),
            ];
            both.into_iter().chain(others).collect()
        }
    }
}

/// Returns answers in chunks, each of which breaks a rule behind its head. `fields` are the other
/// header lines.
pub fn chunks(fields: &str, body: &str) -> Vec<String> {
    let head = format!("HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n");
    chunked_bodies(body).iter().map(|chunks| format!("{head}{chunks}")).collect()
}

/// Rule that a request breaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UploadFault {
    /// The head does not tell the length of the body, or tells it twice.
    Length,
    /// A line of the head is not a field.
    Line,
    /// A line between chunks or behind them is not valid.
    Chunks,
}

/// Returns `POST` requests for `path` with `body`, one for each way in which they break the rule.
/// `fields` are the other header lines.
pub fn uploads(fault: UploadFault, path: &str, fields: &str, body: &str) -> Vec<String> {
    let request = |version: &str, lines: &str, encoded: &str| {
        format!("POST {path} HTTP/{version}\r\n{fields}{lines}\r\n\r\n{encoded}")
    };
    let (chunked, length) = (Framing::Chunks.line(body), Framing::Length.line(body));
    match fault {
        UploadFault::Chunks => {
            chunked_bodies(body).iter().map(|chunks| request("1.1", &chunked, chunks)).collect()
        }
        UploadFault::Line => {
            let lines = LINES.iter().map(|line| request("1.1", &format!("{line}{length}"), body));
            let names =
                NAMES.iter().map(|name| request("1.1", &format!("{name}: 1\r\n{length}"), body));
            lines.chain(names).collect()
        }
        UploadFault::Length => {
            let old_version = request("1.0", &chunked, &Framing::Chunks.encode(body));
            let framings = [Framing::Length, Framing::Chunks].into_iter();
            let lines = framings.flat_map(|framing| {
                let lines = length_lines(framing, body);
                lines.into_iter().map(move |lines| (framing, lines))
            });
            lines
                .map(|(framing, lines)| request("1.1", &lines, &framing.encode(body)))
                .chain([old_version])
                .collect()
        }
    }
}

/// Returns encodings of `body` in chunks that break a rule.
fn chunked_bodies(body: &str) -> Vec<String> {
    let (first, second) = body.split_at(body.len() / 2);
    let (first_size, second_size) = (format!("{:x}", first.len()), format!("{:x}", second.len()));
    let chunk = |line: &str, data: &str| format!("{line}\r\n{data}\r\n");
    let sound = chunk(&first_size, first);
    let lines = [
        "^",
        " ^",
        ";^a=b",
        "\t^;a",
        "+^f",
        "0^xf",
        "f^ ",
        "f^g",
        "f;^",
        "f; a=^",
        "f;a=\"^b",
        "f;a^ b",
        "10000000000000^00f",
    ];
    let sizes = lines.iter().map(|line| format!("{sound}{}0\r\n\r\n", chunk(line, second)));
    let last = format!("{second_size}\r\n{second}\r\n");
    // Lines without a size in place of the one of the last chunk, which end half of the body.
    let ends = ["^", " ^", ";^a"].map(|line| format!("{sound}{line}\r\n\r\n"));
    let others = [
        // The size of the second chunk turned into that of the last chunk.
        format!("{sound}{}0\r\n\r\n", chunk("0^", second)),
        // Line feeds without carriage returns.
        format!("{sound}{second_size}^\n{second}\r\n0\r\n\r\n"),
        format!("{sound}{second_size}\r\n{second}^\n0\r\n\r\n"),
        format!("{sound}{last}0^\n\n"),
        format!("{sound}{last}0\r\n^\n\r\n"),
        // Trailers that are no fields.
        format!("{sound}{last}0\r\nodd ^line\r\n\r\n"),
        format!("{sound}{last}0\r\nodd^ name: 1\r\n\r\n"),
        format!("{sound}{last}0\r\nname: 1\u{1}^\r\n\r\n"),
        // A chunk that is longer or shorter than its size.
        format!("{sound}{second_size}\r\n{second}^x\r\n0\r\n\r\n"),
        format!("{sound}{second_size}\r\n{}^\r\n0\r\n\r\n", &second[1..]),
    ];
    sizes.chain(ends).chain(others).collect()
}
