use std::ops::Range;
use std::rc::Rc;

use crate::contract_reader::{is_within_limits, read_fragment};
use crate::dependency_check::has_valid_dependencies;
use crate::text_block::TextBlock;
use crate::{ContractError, FleetContract};

/// The size of the chunks in which two texts are compared, in bytes.
const CHUNK_LEN: usize = 4_096;

/// An incremental parser for successive versions of a text, which parses only the services and
/// teams that have changed.
///
/// Its results are those of [`FleetContract::parse`]. It parses the whole text when it can't
/// separate the changed services and teams from the others, or when the text has a fault.
///
/// # Examples
///
/// ```
/// use lentilshift_contract::ContractParser;
///
/// let mut parser = ContractParser::default();
/// parser.parse("fleet.toml", "[services.registry]\n")?;
/// let contract = parser.parse("fleet.toml", "[services.registry]\n[services.filings]\n")?;
/// assert_eq!(contract.services.len(), 2);
/// # Ok::<(), lentilshift_contract::ContractError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct ContractParser {
    last_valid: Option<ValidText>,
}

/// The last text without faults, split into blocks if possible, and its contract.
#[derive(Clone, Debug)]
struct ValidText {
    text: Box<str>,
    blocks: Option<Vec<TextBlock>>,
    contract: Rc<FleetContract>,
}

/// The indices of the blocks that a change affects, and their byte ranges in the old and the
/// new text.
struct ChangedBlocks {
    blocks: Range<usize>,
    old: Range<usize>,
    new: Range<usize>,
}

impl ContractParser {
    /// Parses and validates a contract text.
    ///
    /// # Errors
    ///
    /// Returns a [`ContractError`] as [`FleetContract::parse`] does; the next text is then
    /// compared with the last valid one.
    pub fn parse(
        &mut self,
        source_name: &str,
        text: &str,
    ) -> Result<Rc<FleetContract>, ContractError> {
        let changed = self
            .last_valid
            .as_mut()
            .and_then(|last| last.parse_change(text));
        if let Some(contract) = changed {
            return Ok(contract);
        }
        let contract = Rc::new(FleetContract::parse(source_name, text)?);
        self.last_valid = Some(ValidText {
            text: text.into(),
            blocks: TextBlock::split(text, 0),
            contract: Rc::clone(&contract),
        });
        Ok(contract)
    }
}

impl ValidText {
    /// Parses the changes of a new text, or returns `None` when the whole text has to be parsed.
    fn parse_change(&mut self, text: &str) -> Option<Rc<FleetContract>> {
        let blocks = self.blocks.as_ref()?;
        let changed = ChangedBlocks::between(&self.text, text, blocks)?;
        let changed_text = &text[changed.new.clone()];
        let new_blocks = TextBlock::split(changed_text, changed.new.start)?;
        let fragment = read_fragment(changed_text)?;
        let contract = replace_blocks(&self.contract, &blocks[changed.blocks.clone()], fragment)?;
        let is_valid = has_same_dependencies(&self.contract, &contract)
            || has_valid_dependencies(&contract.services);
        if !is_valid || !is_within_limits(&contract, text) {
            return None;
        }
        self.update(text, changed, new_blocks);
        self.contract = Rc::new(contract);
        Some(Rc::clone(&self.contract))
    }

    fn update(&mut self, text: &str, changed: ChangedBlocks, new_blocks: Vec<TextBlock>) {
        let blocks = self.blocks.get_or_insert_default();
        for block in &mut blocks[changed.blocks.end..] {
            block.start = block.start + changed.new.end - changed.old.end;
        }
        blocks.splice(changed.blocks, new_blocks);
        self.text = text.into();
    }
}

impl ChangedBlocks {
    fn between(old: &str, new: &str, blocks: &[TextBlock]) -> Option<Self> {
        let (old, new) = (old.as_bytes(), new.as_bytes());
        let prefix_len = common_prefix_len(old, new);
        let suffix_len = common_suffix_len(&old[prefix_len..], &new[prefix_len..]);
        let first = blocks.partition_point(|block| block.start <= prefix_len);
        let first = first.checked_sub(1)?;
        let last = blocks.partition_point(|block| block.start < old.len() - suffix_len);
        let last = last.max(first + 1);
        let start = blocks[first].start;
        let old_end = blocks.get(last).map_or(old.len(), |block| block.start);
        let new_end = new.len() - (old.len() - old_end);
        let is_whole_lines = new_end == start || new[new_end - 1] == b'\n';
        (is_whole_lines || old_end == old.len()).then_some(Self {
            blocks: first..last,
            old: start..old_end,
            new: start..new_end,
        })
    }
}

/// Replaces the services and teams of some blocks by those of a fragment, or returns `None` when
/// another block defines one of them too.
fn replace_blocks(
    old: &FleetContract,
    blocks: &[TextBlock],
    fragment: FleetContract,
) -> Option<FleetContract> {
    let mut contract = old.clone();
    for block in blocks {
        block.remove_from(&mut contract);
    }
    let len = contract.services.len() + fragment.services.len();
    let team_len = contract.teams.len() + fragment.teams.len();
    contract.services.extend(fragment.services);
    contract.teams.extend(fragment.teams);
    let is_disjoint = contract.services.len() == len && contract.teams.len() == team_len;
    is_disjoint.then_some(contract)
}

fn has_same_dependencies(old: &FleetContract, new: &FleetContract) -> bool {
    let old = old
        .services
        .iter()
        .map(|(name, service)| (name, &service.depends_on));
    let new = new
        .services
        .iter()
        .map(|(name, service)| (name, &service.depends_on));
    old.eq(new)
}

/// Returns the length of the common prefix of two texts, in bytes.
fn common_prefix_len(old: &[u8], new: &[u8]) -> usize {
    let chunks = old.chunks(CHUNK_LEN).zip(new.chunks(CHUNK_LEN));
    let same = chunks.take_while(|(left, right)| left == right);
    let start: usize = same.map(|(chunk, _)| chunk.len()).sum();
    let bytes = old[start..].iter().zip(&new[start..]);
    start + bytes.take_while(|(left, right)| left == right).count()
}

/// Returns the length of the common suffix of two texts, in bytes.
fn common_suffix_len(old: &[u8], new: &[u8]) -> usize {
    let chunks = old.rchunks(CHUNK_LEN).zip(new.rchunks(CHUNK_LEN));
    let same = chunks.take_while(|(left, right)| left == right);
    let end: usize = same.map(|(chunk, _)| chunk.len()).sum();
    let (old, new) = (&old[..old.len() - end], &new[..new.len() - end]);
    let bytes = old.iter().rev().zip(new.iter().rev());
    end + bytes.take_while(|(left, right)| left == right).count()
}
