use std::collections::BTreeSet;

use crate::FleetContract;

/// The top-level table that a block belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum BlockTable {
    Services,
    Teams,
}

/// The lines that define one service or team: from its first table header to the first header of
/// the next service or team.
#[derive(Clone, Debug)]
pub(crate) struct TextBlock {
    pub(crate) start: usize,
    table: BlockTable,
    name: Box<str>,
}

impl TextBlock {
    /// Splits a text into blocks, or returns `None` when it can't be split safely; `start` is the
    /// offset of the text in the whole text.
    ///
    /// A text is split only if it begins with a table header apart from comments, every table
    /// header belongs to a service or a team whose name is a bare key, no string spans several
    /// lines, and every service and team is defined in a single block.
    pub(crate) fn split(text: &str, start: usize) -> Option<Vec<Self>> {
        if text.contains("\"\"\"") || text.contains("'''") {
            return None;
        }
        let mut blocks: Vec<Self> = Vec::new();
        let mut at = start;
        for line in text.split_inclusive('\n') {
            let content = line.trim();
            if content.starts_with('[') {
                let (table, name) = parse_header(content)?;
                let is_same = |block: &Self| block.table == table && *block.name == *name;
                if !blocks.last().is_some_and(is_same) {
                    let name = name.into();
                    let start = at;
                    blocks.push(Self { start, table, name });
                }
            } else if blocks.is_empty() && !content.is_empty() && !content.starts_with('#') {
                return None;
            }
            at += line.len();
        }
        let names: BTreeSet<_> = blocks
            .iter()
            .map(|block| (block.table, &*block.name))
            .collect();
        (names.len() == blocks.len()).then_some(blocks)
    }

    /// Removes the block's service or team from a contract.
    pub(crate) fn remove_from(&self, contract: &mut FleetContract) {
        match self.table {
            BlockTable::Services => drop(contract.services.remove(&*self.name)),
            BlockTable::Teams => drop(contract.teams.remove(&*self.name)),
        }
    }
}

/// Parses a table header such as `[services.filings.calls.file]`, and returns the top-level table
/// and the name of the service or team.
fn parse_header(line: &str) -> Option<(BlockTable, &str)> {
    let (header, rest) = line.strip_prefix('[')?.split_once(']')?;
    let rest = rest.trim_start();
    if !rest.is_empty() && !rest.starts_with('#') {
        return None;
    }
    let (table, path) = header.split_once('.')?;
    let table = match table {
        "services" => BlockTable::Services,
        "teams" => BlockTable::Teams,
        _ => return None,
    };
    let name = path.split_once('.').map_or(path, |(name, _)| name);
    let is_bare = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'_' || byte == b'-';
    let is_plain = !name.is_empty() && name.bytes().all(is_bare);
    is_plain.then_some((table, name))
}
