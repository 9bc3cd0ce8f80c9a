#include "dandelionstand/config/Document.h"

#include "dandelionstand/common/JsonReader.h"
#include "dandelionstand/config/ResourceJson.h"
#include "dandelionstand/config/Validate.h"

namespace dandelionstand::config {

namespace {

constexpr int kIndent = 2;

void ReadSection(common::JsonReader& aRoot, ResourceKind aKind, ConfigState& aState)
{
  common::JsonReader section = aRoot.Object(SectionName(aKind));
  for (const std::string& name : section.Keys()) {
    if (!IsResourceName(name)) {
      section.AddFinding(name, "a name has 1 to 64 letters, digits, '-' and '_'");
      continue;
    }
    common::JsonReader reader = section.Object(name);
    aState.Put({ { aKind, name }, ReadResource(aKind, reader), common::Version(0) });
  }
}

PlaceLookup MakePlaceLookup(const common::LocatedJson& aDocument)
{
  return [&aDocument](const ResourceKey& aResource, const std::string& aKey) {
    std::string pointer = "/" + std::string(SectionName(aResource.kind_)) + "/" + aResource.name_;
    const common::Place resourcePlace = aDocument.At(pointer);
    if (aKey.empty()) {
      return resourcePlace;
    }
    common::Place place = aDocument.At(pointer + "/" + aKey);
    place.line_ = place.line_ == 0 ? resourcePlace.line_ : place.line_;
    return place;
  };
}

} // namespace

ConfigState ParseDocument(const std::string& aText,
                          const std::string& aSource,
                          common::Findings& aFindings)
{
  ConfigState state;
  if (aText.size() > kMaxDocumentBytes) {
    aFindings.Add({ aSource, 0, "" }, "is longer than 1 MiB");
    return state;
  }
  common::Findings syntax;
  const common::LocatedJson document = common::ParseLocatedJson(aText, aSource, syntax);
  aFindings.Append(syntax);
  if (document.value_.is_null()) {
    if (syntax.IsEmpty()) {
      aFindings.Add({ aSource, 1, "" }, "must be an object");
    }
    return state;
  }
  common::JsonReader root(document, "", aFindings);
  ReadSection(root, ResourceKind::kLimits, state);
  ReadSection(root, ResourceKind::kEndpoints, state);
  ReadSection(root, ResourceKind::kRoute, state);
  root.RejectUnknownKeys();
  Validate(state, MakePlaceLookup(document), aFindings);
  return state;
}

std::string WriteDocument(const ConfigState& aState)
{
  return ToJson(aState).dump(kIndent) + "\n";
}

} // namespace dandelionstand::config
