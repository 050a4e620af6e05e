// The cases of this review, by name.
#pragma once

#include <utility>

#include "scene.h"

namespace review {

void PlayDrill(Record& record, const std::string& folder);
void PlayPrompt(Record& record, const std::string& folder);
void PlayRoute(Record& record, const std::string& folder);
void PlayUnframed(Record& record, const std::string& folder);

using Play = void (*)(Record& record, const std::string& folder);
inline constexpr std::pair<const char*, Play> kCases[]{
    {"drill", PlayDrill}, {"prompt", PlayPrompt}, {"route", PlayRoute}, {"unframed", PlayUnframed}};

}  // namespace review
